"""The kinds of evidence on a version."""

from enum import StrEnum


class EvidenceKind(StrEnum):
    """Each is a score from 0 (bad) to 1 (good)."""

    RATING = "rating"
    SUCCESS = "success"
    LATENCY = "latency"
