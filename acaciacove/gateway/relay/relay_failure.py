"""Why another gateway relayed nothing."""

from enum import Enum


class RelayFailure(Enum):
    """Its view is too old, its reply was cut off, it did not answer, or it has left."""

    STALE = "stale"
    SLOW = "slow"
    UNREACHED = "unreached"
    NO_MEMBER = "no_member"
