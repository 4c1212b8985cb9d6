"""What a decision was about."""

from enum import StrEnum


class DecisionKind(StrEnum):
    """The first field of a decision's log line."""

    VERSION = "version"
    CASCADE = "cascade"
    ENDPOINT = "endpoint"
    ROLLOUT = "rollout"
    HEDGE = "hedge"
    ZONE_MOVE = "zone_move"
    PLACEMENT = "placement"
