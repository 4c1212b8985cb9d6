"""Status of a key at the owner of its claim."""

from enum import StrEnum


class ClaimStatus(StrEnum):
    """Status that the owner of a claim reports for its key.

    ``NOT_HELD`` from the incarnation that claimed the key means that it released the
    claim, or that the outcome is in the log.
    """

    RUNNING = "running"
    DONE = "done"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_HELD = "not_held"
