"""Adaptive concurrency limit of one endpoint."""

from attrs import define

SLOW_FACTOR = 2.0
DECREASE_FACTOR = 0.8
MIN_LIMIT = 1.0
SMOOTHING = 0.02
MIN_SAMPLES = 20


@define
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease (AIMD) on the time per token.

    The capacity of an endpoint may be lower than declared, for example with a noisy
    neighbour or a throttled accelerator. More work then only increases the time per
    token. ``ceiling`` is the capacity of a warm endpoint; the ramp limits it further.
    """

    limit: float
    _baseline_token_s: float = 0.0
    _samples: int = 0
    _decreased_at_s: float = float("-inf")

    def finished(
        self, token_s: float, started_at_s: float, ok: bool, now_s: float, ceiling: int
    ) -> None:
        """Update the limit after one finished request.

        Requests that started before the last decrease cause no further one.
        """
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
        """Reset the limit to ``ceiling`` when a ramp starts to limit the endpoint.

        A restart aborts the running requests. Counted as overload, these failures
        would keep the limit low long after the endpoint is warm again.
        """
        self.limit = float(ceiling)
