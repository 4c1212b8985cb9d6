"""Why another gateway told nothing of the log."""

from enum import Enum


class RelayFailure(Enum):
    """It knows too little, could not be reached, or is no member any more."""

    STALE = "stale"
    UNREACHED = "unreached"
    NO_MEMBER = "no_member"
