"""Which appends go first when the log is slow or scarce."""

from enum import IntEnum


class Priority(IntEnum):
    """Lower values go first; each class has an append budget of its own."""

    DECISION = 0
    CLAIM = 1
    BILLING = 2
