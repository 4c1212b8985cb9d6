"""What an owner answers about a key."""

from enum import StrEnum


class ClaimStatus(StrEnum):
    """Whether an owner is still at it, has the answer, or knows nothing.

    ``NOT_HELD`` from the incarnation that claimed the key means that it gave the
    claim up, or that the outcome is in the log.
    """

    RUNNING = "running"
    DONE = "done"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_HELD = "not_held"
