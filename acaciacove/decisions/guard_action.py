"""What the roll-out guard wants done with a version."""

from enum import StrEnum


class GuardAction(StrEnum):
    """Keep its share, widen it, or stop it everywhere."""

    KEEP = "keep"
    WIDEN = "widen"
    QUARANTINE = "quarantine"
