"""Phases of a roll-out as one gateway carries it out."""

from enum import Enum


class RolloutPhase(Enum):
    """From a bounded share to all requests, or back to none."""

    TRIAL = "trial"
    ALL = "all"
    STOPPED = "stopped"
