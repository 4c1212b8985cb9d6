"""Kinds of decisions."""

from enum import StrEnum


class DecisionKind(StrEnum):
    """Value of the first field of a decision's log line."""

    VERSION = "version"
    CASCADE = "cascade"
    ENDPOINT = "endpoint"
    ROLLOUT = "rollout"
    HEDGE = "hedge"
    ZONE_MOVE = "zone_move"
    PLACEMENT = "placement"
