"""Settings of ``soak``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check


def is_number_list(value: str) -> str | None:
    """Accept empty text, or non-negative integers separated by commas."""
    if not value or all(part.isdigit() for part in value.split(",")):
        return None
    return f"must be numbers joined by commas, not {value!r}"


@frozen
class SoakSettings(CheckedSettings):
    """The duration, processes and faults of a soak test.

    The schedule of faults depends on ``seed`` and ``seconds`` only. ``only`` limits
    the run to the faults with these numbers in the schedule. If the complete schedule
    violates a guarantee, ``shorten`` searches for a small subset of its faults that
    still does.
    """

    seed: int = 1
    seconds: float = field(default=30.0, metadata=check(at_least(10)))
    gateways: int = field(default=4, metadata=check(at_least(1)))
    endpoints: int = field(default=6, metadata=check(at_least(4)))
    callers: int = field(default=12, metadata=check(at_least(1)))
    only: str = field(default="", metadata=check(is_number_list))
    shorten: bool = False
    log_folder: str = ""
