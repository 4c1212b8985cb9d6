"""How many things happened in the time just past."""

from collections import deque


class SlidingWindowCounter:
    """Counts over a window that slides with ``now_s``; exact, one entry a step.

    Entries within ``bucket_s`` of each other share one counter, which is dropped
    only when all of it is older than the window: the count is never too low.
    """

    def __init__(self, window_s: float, bucket_s: float = 0.0) -> None:
        """Begin empty."""
        self._window_s = window_s
        self._bucket_s = bucket_s
        self._buckets: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, now_s: float, amount: float = 1.0) -> None:
        """Count ``amount`` at ``now_s``."""
        self._total += amount
        if self._buckets and now_s - self._buckets[-1][0] < self._bucket_s:
            self._buckets[-1][2] += amount
            self._buckets[-1][1] = now_s
            return
        self._buckets.append([now_s, now_s, amount])

    def total(self, now_s: float) -> float:
        """Return the sum of what was counted within the window."""
        while self._buckets and self._buckets[0][1] <= now_s - self._window_s:
            self._total -= self._buckets.popleft()[2]
        return self._total
