"""Estimates the prefill time of an endpoint from the first chunks of its answers."""

from attrs import define

# The prior for a model without answers: a fixed time for each request, and the time to
# prefill a prompt of this many tokens. A single answer outweighs it.
PRIOR_BASE_S = 0.05
PRIOR_TOKENS = 8_000.0
PRIOR_PREFILL_S = 0.2
PRIOR_WEIGHT = 0.2
# Weight that older samples keep with each new one. The estimate covers about fifty
# answers, so it follows a service that slows down within seconds.
DECAY = 0.98
# Queueing makes answers later, never earlier. Answers that took longer than predicted
# get this weight relative to faster ones, which keeps queueing out of the estimate.
SLOWER_WEIGHT = 0.1
# Lower bound for the fixed time, so that predictions are always positive.
MIN_BASE_S = 0.005


@define
class PrefillLatency:
    """A line through (uncached tokens, seconds to the first chunk) for one model.

    An expectile regression with exponential forgetting. ``base_s`` is the fixed time of
    a request, ``s_per_token`` the time for each token of the prompt that must be
    prefilled.
    """

    base_s: float = PRIOR_BASE_S
    s_per_token: float = PRIOR_PREFILL_S / PRIOR_TOKENS
    _weight: float = 2.0 * PRIOR_WEIGHT
    _x: float = PRIOR_WEIGHT * PRIOR_TOKENS
    _y: float = PRIOR_WEIGHT * (2.0 * PRIOR_BASE_S + PRIOR_PREFILL_S)
    _xx: float = PRIOR_WEIGHT * PRIOR_TOKENS**2
    _xy: float = PRIOR_WEIGHT * PRIOR_TOKENS * (PRIOR_BASE_S + PRIOR_PREFILL_S)

    def predict_s(self, tokens: float) -> float:
        """Return the seconds to the first chunk on an endpoint without a queue."""
        return self.base_s + self.s_per_token * tokens

    def learn(self, tokens: float, took_s: float) -> None:
        """Add one answer: its uncached tokens, and its latency without known waits."""
        weight = SLOWER_WEIGHT if took_s > self.predict_s(tokens) else 1.0
        self._weight = DECAY * self._weight + weight
        self._x = DECAY * self._x + weight * tokens
        self._y = DECAY * self._y + weight * took_s
        self._xx = DECAY * self._xx + weight * tokens * tokens
        self._xy = DECAY * self._xy + weight * tokens * took_s
        self._solve()

    def _solve(self) -> None:
        spread = self._weight * self._xx - self._x**2
        if spread > 0.0:
            slope = (self._weight * self._xy - self._x * self._y) / spread
            self.s_per_token = max(0.0, slope)
        base_s = (self._y - self.s_per_token * self._x) / self._weight
        if base_s < MIN_BASE_S:
            # The fitted line is below zero at zero tokens: all of the time is prefill.
            self.s_per_token = self._xy / self._xx
            base_s = MIN_BASE_S
        self.base_s = base_s
