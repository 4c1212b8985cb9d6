"""A concurrency limit that follows what the endpoint shows it can do."""

from attrs import define

SLOW_FACTOR = 2.0
DECREASE_FACTOR = 0.8
MIN_LIMIT = 1.0
SMOOTHING = 0.02
MIN_SAMPLES = 20


@define
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease on the time per token.

    An endpoint may bear less than declared (a noisy neighbour, a throttled
    accelerator). More work only makes it slower then; one notices by the time per
    token. ``ceiling`` is what a warm endpoint bears; the ramp bounds it further.
    """

    limit: float
    _baseline_token_s: float = 0.0
    _samples: int = 0
    _decreased_at_s: float = float("-inf")

    def finished(
        self, token_s: float, started_at_s: float, ok: bool, now_s: float, ceiling: int
    ) -> None:
        """Learn from one finished request."""
        slow = token_s > SLOW_FACTOR * self._baseline_token_s
        if not ok or (self._samples >= MIN_SAMPLES and slow):
            if started_at_s > self._decreased_at_s:
                self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
                self._decreased_at_s = now_s
            return
        weight = max(SMOOTHING, 1.0 / (self._samples + 1))
        self._baseline_token_s += weight * (token_s - self._baseline_token_s)
        self._samples += 1
        self.limit = min(float(ceiling), self.limit + 1.0 / self.limit)

    def reset(self, ceiling: int) -> None:
        """Forget the cuts: a ramp has taken over, and bounds the limit itself.

        A restart cuts what was running. Taken for slowness, those failures would
        hold the limit down long after the endpoint is warm again.
        """
        self.limit = float(ceiling)
