"""Decoded head of an endpoint's HTTP response."""

from attrs import frozen

from acaciacove.gateway.http.load_report import LoadReport


@frozen
class ResponseHead:
    """Status line and decoded header fields of a response.

    ``headers`` are the fields to pass on to the caller, without hop-by-hop fields.
    ``has_receipt`` is set if the endpoint's receipt is present, which shows that the
    endpoint produced the response. ``not_run`` is set if the endpoint states that it
    has not executed the request. ``confidence`` is the model's self-reported
    confidence, 0 to 100. ``idle_timeout_s`` is how long the endpoint keeps an idle
    connection open. ``encoded`` is set if the
    body has a content coding. ``misdirected`` is set if the request reached another
    endpoint than the intended one. ``rate_limit_per_s`` is the rate that the
    endpoint accepts from all gateways together. ``leaving`` is set if the endpoint
    announces its departure, and ``rest_s`` is how long it wants no requests from this
    gateway. ``unreadable`` lists the fields with values that cannot be read.
    """

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: str | None
    has_receipt: bool
    not_run: bool
    confidence: float | None
    load: LoadReport | None
    idle_timeout_s: float | None
    encoded: bool
    misdirected: bool
    rate_limit_per_s: float | None
    leaving: bool = False
    rest_s: float | None = None
    unreadable: tuple[str, ...] = ()

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300
