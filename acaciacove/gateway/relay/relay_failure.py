"""Why another gateway relayed nothing."""

from enum import Enum


class RelayFailure(Enum):
    """Its view is too old, it could not be reached, or it is no longer a member."""

    STALE = "stale"
    UNREACHED = "unreached"
    NO_MEMBER = "no_member"
