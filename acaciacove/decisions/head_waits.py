"""Measures how long requests wait for a response head, for any load on a service."""

from math import exp

from attrs import define, field

# Time constant of the moving averages. At 20 requests per second, which a gateway of a
# large fleet sees, they cover six of them.
AVERAGING_S = 0.3
# An average without a new observation loses weight linearly and is gone after this.
MAX_AGE_S = 3.0
# The estimate from the pending work differs from the observed waits by at most this
# factor. An idle service has no observed waits, so one long request shows none there.
MAX_FACTOR = 2.0


@define
class HeadWaits:
    """Estimate of the wait of a service's requests beyond their time without a queue.

    Observed waits are as old as they are long. The present wait is estimated from the
    pending work and the rate at which work was completed (Little's law), within a
    factor of the observed one. A pending request has waited at least for as long as it
    is overdue, which counts where it is more than the mean of the observed waits.
    """

    _pending: dict[int, tuple[float, float]] = field(factory=dict)
    _pending_work_s: float = 0.0
    _sum_s: float = 0.0
    _weight: float = 0.0
    _completed_work_s: float = 0.0
    _observed_at_s: float = float("-inf")

    def send(self, number: int, unqueued_s: float, now_s: float) -> None:
        """Record that a request is sent; without a queue it takes ``unqueued_s``."""
        self._pending[number] = (now_s + unqueued_s, unqueued_s)
        self._pending_work_s += unqueued_s

    def record_head(self, number: int, now_s: float) -> None:
        """Record the response head of a request."""
        due_s, work_s = self._remove(number)
        if due_s is not None:
            self._observe(max(0.0, now_s - due_s), work_s, now_s)

    def discard(self, number: int, now_s: float) -> None:
        """Remove a request that ended without a response head.

        Its caller may have left because of the wait. Without these observations only
        the waits of patient callers would count.
        """
        due_s, _ = self._remove(number)
        if due_s is not None and now_s - due_s > self._mean_s(now_s):
            self._observe(now_s - due_s, 0.0, now_s)

    def wait_s(self, now_s: float) -> float | None:
        """Return the present wait in seconds, None without a recent observation."""
        if self.age_s(now_s) is None:
            return None
        observed_s = self._observed_s(now_s)
        completed_per_s = self._completed_work_s * self._decay(now_s) / AVERAGING_S
        if not self._pending or completed_per_s <= 0.0:
            return observed_s
        ahead_s = self._pending_work_s * (
            1.0 / completed_per_s - 1.0 / len(self._pending)
        )
        return max(observed_s / MAX_FACTOR, min(observed_s * MAX_FACTOR, ahead_s))

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the newest observation in seconds, None without any."""
        if any(now_s > due_s for due_s, _ in self._pending.values()):
            return 0.0
        age_s = now_s - self._observed_at_s
        return age_s if age_s < MAX_AGE_S else None

    def _observed_s(self, now_s: float) -> float:
        """Return the mean of observed waits and of longer ones of pending requests."""
        mean_s = self._mean_s(now_s)
        overdue_s = [
            now_s - due_s
            for due_s, _ in self._pending.values()
            if now_s - due_s > mean_s
        ]
        if not overdue_s:
            return mean_s
        weight = self._weight * self._decay(now_s)
        return (mean_s * weight + sum(overdue_s)) / (weight + len(overdue_s))

    def _mean_s(self, now_s: float) -> float:
        if self._weight <= 0.0:
            return 0.0
        freshness = max(0.0, 1.0 - (now_s - self._observed_at_s) / MAX_AGE_S)
        return freshness * self._sum_s / self._weight

    def _remove(self, number: int) -> tuple[float | None, float]:
        due_s, work_s = self._pending.pop(number, (None, 0.0))
        self._pending_work_s = self._pending_work_s - work_s if self._pending else 0.0
        return due_s, work_s

    def _observe(self, wait_s: float, work_s: float, now_s: float) -> None:
        decay = self._decay(now_s)
        self._sum_s = decay * self._sum_s + wait_s
        self._weight = decay * self._weight + 1.0
        self._completed_work_s = decay * self._completed_work_s + work_s
        self._observed_at_s = now_s

    def _decay(self, now_s: float) -> float:
        return exp(-(now_s - self._observed_at_s) / AVERAGING_S)
