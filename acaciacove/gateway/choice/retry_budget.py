"""Limits the retries of all gateways together."""

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter

BUCKET_S = 0.05


class RetryBudget:
    """Retries that one gateway may send to one service.

    All gateways together may send ``ratio`` times the requests of a window plus
    ``extra``. Each stays within ``ratio`` times its own requests plus its share of
    ``extra``. The sum therefore holds without coordination, also while gateways are
    disconnected from each other.

    A process has no share of ``extra`` in its first window: the process before it, of
    the same gateway, may have used that share just before its end.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        started_s: float = float("-inf"),
    ) -> None:
        """Start with empty windows; the process has run since ``started_s``."""
        self._ratio = ratio
        self._extra = extra
        self._extra_from_s = started_s + window_s
        self._requests = SlidingWindowCounter(window_s, BUCKET_S)
        self._retries = SlidingWindowCounter(window_s, BUCKET_S)

    def set_bounds(self, ratio: float, extra: float) -> None:
        """Set new bounds; counted requests and retries stay counted."""
        self._ratio = ratio
        self._extra = extra

    def count_request(self, now_s: float) -> None:
        """Count a caller's request to the service."""
        self._requests.add(now_s)

    def remaining(self, now_s: float, gateways: int) -> float:
        """Return how many retries may still be sent now."""
        allowed = self._ratio * self._requests.total(now_s)
        if now_s >= self._extra_from_s:
            allowed += self._extra / gateways
        return allowed - self._retries.total(now_s)

    def consume(self, now_s: float, gateways: int) -> bool:
        """Use one retry; return false when none remains."""
        if self.remaining(now_s, gateways) < 1.0:
            return False
        self._retries.add(now_s)
        return True
