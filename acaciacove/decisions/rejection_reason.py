"""Why a candidate of a decision was not chosen."""

from enum import StrEnum


class RejectionReason(StrEnum):
    """Stable codes that the log line of a decision carries."""

    NOT_ALLOWED = "not_allowed"
    WITHDRAWN = "withdrawn"
    QUARANTINED = "quarantined"
    ZONE_OUT = "zone_out"
    INSTANCE_OUT = "instance_out"
    LEAVING = "leaving"
    NOT_SERVED = "not_served"
    PINNED_ELSEWHERE = "pinned_elsewhere"
    NOT_EXPOSED = "not_exposed"
    REPLACED = "replaced"
    DEARER = "dearer"
    BELOW_TARGET = "below_target"
    BUSY = "busy"
    COLD = "cold"
    EXCLUDED = "excluded"
    NOT_SAMPLED = "not_sampled"
    SLOWER = "slower"
    HEAVIER = "heavier"
