"""Actions of the roll-out guard on a version."""

from enum import StrEnum


class GuardAction(StrEnum):
    """Keep the share of the version, widen it, or quarantine the version."""

    KEEP = "keep"
    WIDEN = "widen"
    QUARANTINE = "quarantine"
