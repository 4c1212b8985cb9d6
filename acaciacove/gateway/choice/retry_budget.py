"""How many requests may be sent a second time, summed over all gateways."""

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter

BUCKET_S = 0.05


class RetryBudget:
    """The repeats that one gateway may send to one service.

    All gateways together may send ``ratio`` times the requests of a window plus
    ``extra``. Each keeps to its own requests times ``ratio`` and its part of
    ``extra``, so the sum holds without asking anybody, also while gateways are
    cut off from each other.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        """Begin without requests; ``ratio`` and ``extra`` are those to keep to."""
        self._ratio = ratio
        self._extra = extra
        self._requests = SlidingWindowCounter(window_s, BUCKET_S)
        self._retries = SlidingWindowCounter(window_s, BUCKET_S)

    def set_bounds(self, ratio: float, extra: float) -> None:
        """Take new bounds; what was counted stays counted."""
        self._ratio = ratio
        self._extra = extra

    def count_request(self, now_s: float) -> None:
        """Count a caller's request for the service."""
        self._requests.add(now_s)

    def remaining(self, now_s: float, gateways: int) -> float:
        """Return how many repeats may still be sent now."""
        allowed = self._ratio * self._requests.total(now_s) + self._extra / gateways
        return allowed - self._retries.total(now_s)

    def consume(self, now_s: float, gateways: int) -> bool:
        """Use one repeat; false when there is none."""
        if self.remaining(now_s, gateways) < 1.0:
            return False
        self._retries.add(now_s)
        return True
