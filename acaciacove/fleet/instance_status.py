"""How an instance stands, as membership sees it."""

from enum import StrEnum


class InstanceStatus(StrEnum):
    """States of the one lifecycle that entries and endpoints share."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"
