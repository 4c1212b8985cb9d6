"""The availability of the platform's log, as observed by one process."""

from enum import StrEnum


class LogStatus(StrEnum):
    """Whether the log replies promptly, slowly or not at all."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"
