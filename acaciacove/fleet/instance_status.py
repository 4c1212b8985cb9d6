"""Status of an instance in the membership."""

from enum import StrEnum


class InstanceStatus(StrEnum):
    """Lifecycle states of entries and endpoints."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
