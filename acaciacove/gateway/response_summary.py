"""Summary of one response head."""

from attrs import frozen


@frozen
class ResponseSummary:
    """Summary of a response head for the log.

    ``head_latency_s`` is the time from sending the request to the head, and
    ``predicted_s`` its prediction. ``confidence`` is 0 to 100, if stated.
    """

    endpoint: str
    model: str | None
    status: int
    confidence: float | None
    head_latency_s: float
    predicted_s: float
