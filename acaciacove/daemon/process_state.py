"""The lifecycle of a daemon's process."""

from enum import StrEnum


class ProcessState(StrEnum):
    """From the first line of a daemon to its exit."""

    STARTING = "starting"
    READY = "ready"
    NOTICE = "notice"
    DRAINING = "draining"
    STOPPED = "stopped"
