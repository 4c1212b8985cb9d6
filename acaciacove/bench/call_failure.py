"""How a call of a load run can fail, as its caller sees it."""

from enum import StrEnum


class CallFailure(StrEnum):
    """Everything but a whole answer to the caller's own request."""

    REFUSED = "refused"
    BROKEN_OFF = "broken_off"
    SHORT = "short"
    FOREIGN = "foreign"
    LOST = "lost"
    TIMED_OUT = "timed_out"
