"""The head of an endpoint's answer, decoded."""

from attrs import frozen


@frozen
class ResponseHead:
    """Status and what the header fields of an answer say.

    ``has_receipt`` tells that the answer bears the endpoint's receipt. ``not_run``
    is the endpoint's word that it has not run the request. ``confidence`` is
    the model's own opinion, 0 to 100. ``load`` is (running, waiting, slots).
    ``idle_timeout_s`` is how long the endpoint keeps an idle connection.
    ``misdirected`` tells that another endpoint than the one meant has answered.
    ``rate_limit_per_s`` are the requests that it takes from all gateways together.
    """

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    request_id: str | None
    has_receipt: bool
    not_run: bool
    confidence: float | None
    load: tuple[int, int, int] | None
    idle_timeout_s: float | None
    encoded: bool
    misdirected: bool
    rate_limit_per_s: float | None

    @property
    def is_success(self) -> bool:
        """Tell a 2xx status."""
        return 200 <= self.status < 300
