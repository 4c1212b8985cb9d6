"""Exit statuses of the command line and of the daemons."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses; scripts rely on the numbers, so they must not change."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_NOTE = 3
    RACE_LOST = 4
    OUTCOME_UNKNOWN = 5
    PLATFORM_UNAVAILABLE = 6
    CHECK_FAILED = 7
    INTERRUPTED = 130
