"""Settings of ``soak``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check


def is_number_list(value: str) -> str | None:
    """Accept nothing, or whole numbers joined by commas."""
    if not value or all(part.isdigit() for part in value.split(",")):
        return None
    return f"must be numbers joined by commas, not {value!r}"


@frozen
class SoakSettings(CheckedSettings):
    """How long a soak runs, with how many processes, and under which faults.

    The plan of faults depends on ``seed`` and ``seconds`` alone. ``only`` plays the
    faults with these numbers of the plan and leaves out the others; ``shorten`` looks
    for few that still break a promise, once the whole plan did.
    """

    seed: int = 1
    seconds: float = field(default=30.0, metadata=check(at_least(10)))
    gateways: int = field(default=4, metadata=check(at_least(1)))
    endpoints: int = field(default=6, metadata=check(at_least(4)))
    callers: int = field(default=12, metadata=check(at_least(1)))
    only: str = field(default="", metadata=check(is_number_list))
    shorten: bool = False
    log_folder: str = ""
