"""The kinds of evidence about a version."""

from enum import StrEnum


class EvidenceKind(StrEnum):
    """What a score measures; every score is between 0 (bad) and 1 (good)."""

    RATING = "rating"
    SUCCESS = "success"
    LATENCY = "latency"
