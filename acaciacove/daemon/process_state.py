"""Lifecycle states of a daemon."""

from enum import StrEnum


class ProcessState(StrEnum):
    """Lifecycle states in their order, from start to exit."""

    STARTING = "starting"
    READY = "ready"
    NOTICE = "notice"
    DRAINING = "draining"
    STOPPED = "stopped"
