"""Settings of availability zone and instance decisions."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import check, is_name, is_positive, is_url


@frozen
class DecisionSettings(CheckedSettings):
    """The zone or instance to take out of or back into service, and the log.

    ``decision_id`` makes the command idempotent: a decision whose id is already in
    the log is not appended again. If it is empty, a new id is generated.
    """

    name: str = field(metadata=check(is_name))
    log_url: str = field(metadata=check(is_url))
    operator: str = ""
    decision_id: str = ""
    timeout_s: float = field(default=30.0, metadata=check(is_positive))
    json: bool = False
