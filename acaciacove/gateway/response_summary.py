"""What the head of one answer told."""

from attrs import frozen


@frozen
class ResponseSummary:
    """``head_latency_s`` from sending to the head; ``confidence`` 0 to 100, if told.

    ``predicted_s`` is when it was expected.
    """

    endpoint: str
    model: str | None
    status: int
    confidence: float | None
    head_latency_s: float
    predicted_s: float
