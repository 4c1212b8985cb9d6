"""How one attempt at one endpoint ended."""

from enum import Enum


class AttemptOutcome(Enum):
    """What may follow depends on whether the endpoint may have run the request.

    ``DELIVERED``: the caller has the whole answer. ``NOT_SENT``: no byte left.
    ``NOT_RUN``: the endpoint says so. ``FAILED``: a complete answer that tells
    a failure. ``LOST``: it may have run. ``LOW_CONFIDENCE``: a small model doubts its
    answer, of which the caller has nothing. ``BROKEN``: part of a stream has
    been delivered. ``TIMED_OUT``: no head came in the time for one attempt.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    LOW_CONFIDENCE = "unsure"
    BROKEN = "broken"
    TIMED_OUT = "silent"
