"""Average rate of a service's new work, over longer than a burst lasts."""

from math import exp

from attrs import define

# Time constant of the average.
AVERAGING_S = 10.0


@define
class UsualRate:
    """Rate of the tokens of new requests; it does not count those that return."""

    _tokens: float = 0.0
    _weight_s: float = 0.0

    def add(self, tokens: float) -> None:
        """Count the tokens of a new request."""
        self._tokens += tokens

    def fade(self, elapsed_s: float) -> None:
        """Reduce the weight of what was counted so far by its age."""
        decay = exp(-elapsed_s / AVERAGING_S)
        self._tokens *= decay
        self._weight_s = decay * self._weight_s + AVERAGING_S * (1.0 - decay)

    @property
    def tokens_per_s(self) -> float:
        """Return the rate, 0 before the first call of ``fade``."""
        return self._tokens / self._weight_s if self._weight_s > 0.0 else 0.0
