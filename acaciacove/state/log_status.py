"""How the platform's log does, as one process sees it."""

from enum import StrEnum


class LogStatus(StrEnum):
    """Up, answering slowly, or not answering."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"
