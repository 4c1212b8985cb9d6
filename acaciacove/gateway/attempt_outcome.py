"""Outcome of one attempt at one endpoint."""

from enum import Enum


class AttemptOutcome(Enum):
    """Outcomes, distinguished by whether the endpoint may have run the request.

    ``DELIVERED``: the caller has the complete response. ``NOT_SENT``: no byte was sent.
    ``NOT_RUN``: the endpoint refused the request without running it. ``FAILED``: a
    complete failure response. ``LOST``: the endpoint may have run the request, and its
    response was lost. ``LOW_CONFIDENCE``: the model's confidence is low and nothing was
    sent to the caller yet. ``BROKEN``: the stream broke after a part of it was
    delivered. ``TIMED_OUT``: no response head or first event came within the timeout of
    an attempt.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    LOW_CONFIDENCE = "unsure"
    BROKEN = "broken"
    TIMED_OUT = "silent"
