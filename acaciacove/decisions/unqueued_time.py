"""Estimates how long a plain request takes without a queue."""

from attrs import define

# Weight of a faster response in the estimate.
FASTER_WEIGHT = 0.2
# Time constant with which slower responses raise the estimate. It is far longer than an
# overload, whose waits would otherwise become the usual time.
RISE_S = 60.0


@define
class UnqueuedTime:
    """Time to the response head of a route's requests without a queue, in seconds.

    Queueing makes responses later, never earlier: the estimate follows faster responses
    at once, and slower ones slowly.
    """

    estimate_s: float | None = None
    _learnt_at_s: float = 0.0

    def learn(self, took_s: float, now_s: float) -> None:
        """Add the time that one response took."""
        if self.estimate_s is None:
            self.estimate_s = took_s
        elif took_s < self.estimate_s:
            self.estimate_s += FASTER_WEIGHT * (took_s - self.estimate_s)
        else:
            share = min(1.0, (now_s - self._learnt_at_s) / RISE_S)
            self.estimate_s += share * (took_s - self.estimate_s)
        self._learnt_at_s = now_s
