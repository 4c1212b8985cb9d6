"""Settings of availability zone and instance decisions."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import check, is_name, is_positive, is_url


@frozen
class DecisionSettings(CheckedSettings):
    """The zone or instance that is taken out or in, and the log to say it in.

    ``decision_id`` makes a repeat harmless: a decision whose id is in the log
    is not appended again. Empty means a fresh one.
    """

    name: str = field(metadata=check(is_name))
    log_url: str = field(metadata=check(is_url))
    operator: str = ""
    decision_id: str = ""
    timeout_s: float = field(default=30.0, metadata=check(is_positive))
    json: bool = False
