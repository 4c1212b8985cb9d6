"""How long an endpoint takes to read a prompt, learnt from answers' first pieces."""

from attrs import define

# What is assumed of a model before its first answer: this much for any request, and a
# prompt of this many tokens in this much more. One answer outweighs it.
PRIOR_BASE_S = 0.05
PRIOR_TOKENS = 8_000.0
PRIOR_PREFILL_S = 0.2
PRIOR_WEIGHT = 0.2
# Each answer leaves this share of the weight of those before it: some fifty answers
# are remembered, so that a service that grows slower is followed within seconds.
DECAY = 0.98
# Waiting makes answers late and never early. An answer that took longer than was
# expected counts this much of one that was faster, which leaves waiting out.
SLOWER_WEIGHT = 0.1
# The least time of a request, so that no prediction is nothing.
MIN_BASE_S = 0.005


@define
class PrefillLatency:
    """A line through (unread tokens, seconds to the first piece) of one model.

    An expectile regression with forgetting: ``base_s`` for any request, and
    ``s_per_token`` for each token of the prompt that has to be read.
    """

    base_s: float = PRIOR_BASE_S
    s_per_token: float = PRIOR_PREFILL_S / PRIOR_TOKENS
    _weight: float = 2.0 * PRIOR_WEIGHT
    _x: float = PRIOR_WEIGHT * PRIOR_TOKENS
    _y: float = PRIOR_WEIGHT * (2.0 * PRIOR_BASE_S + PRIOR_PREFILL_S)
    _xx: float = PRIOR_WEIGHT * PRIOR_TOKENS**2
    _xy: float = PRIOR_WEIGHT * PRIOR_TOKENS * (PRIOR_BASE_S + PRIOR_PREFILL_S)

    def predict_s(self, tokens: float) -> float:
        """Return the seconds to the first piece on an endpoint without a queue."""
        return self.base_s + self.s_per_token * tokens

    def learn(self, tokens: float, took_s: float) -> None:
        """Take one answer: its unread tokens, and its time without known waits."""
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
            # A line below nothing at no tokens: all of the time is reading.
            self.s_per_token = self._xy / self._xx
            base_s = MIN_BASE_S
        self.base_s = base_s
