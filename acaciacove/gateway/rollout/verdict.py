"""Verdict on a new version."""

from enum import Enum


class Verdict(Enum):
    """GOOD and BAD are proven by the evidence; UNKNOWN is not decided yet."""

    UNKNOWN = "unknown"
    GOOD = "good"
    BAD = "bad"
