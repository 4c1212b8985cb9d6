"""The reducer's verdict on a record."""

from enum import StrEnum


class Verdict(StrEnum):
    """Accepted, or the reason why a record does not change the fleet state.

    ``STALE_BASE`` records were based on a release that has been superseded, and
    ``CONTRADICTION`` snapshots do not agree with the records.
    """

    ACCEPTED = "accepted"
    STALE_BASE = "stale_base"
    DUPLICATE = "duplicate"
    UNKNOWN_NAME = "unknown_name"
    CONTRADICTION = "contradiction"
    MALFORMED = "malformed"
