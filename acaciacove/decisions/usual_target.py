"""Usual latency target of the requests that wait behind a new one.

Answers a burst of long prompts with patient callers, which delays urgent requests.
"""

from attrs import define

# Weight of the newest request in the moving average.
EWMA_WEIGHT = 0.02


@define
class UsualTarget:
    """Harmonic mean of the latency targets of a service's recent requests.

    A delay costs a request in proportion to its share of the latency target, so the
    mean is taken over the inverse targets.
    """

    _inverse: float = 0.0

    def learn(self, target_s: float) -> None:
        """Add a request; one without a latency target does not count."""
        if target_s <= 0.0:
            return
        inverse = 1.0 / target_s
        if not self._inverse:
            self._inverse = inverse
        self._inverse += EWMA_WEIGHT * (inverse - self._inverse)

    @property
    def target_s(self) -> float | None:
        """The usual target in seconds, None before the first request."""
        return 1.0 / self._inverse if self._inverse else None
