"""Phases of a roll-out at one gateway."""

from enum import Enum


class RolloutPhase(Enum):
    """A bounded share of the requests, all of them, or none after a rollback."""

    TRIAL = "trial"
    ALL = "all"
    STOPPED = "stopped"
