"""Priority classes of appends to the log."""

from enum import IntEnum


class Priority(IntEnum):
    """Lower values are appended first when the log is slow or rate-limited.

    Each class has a separate append budget.
    """

    DECISION = 0
    CLAIM = 1
    BILLING = 2
