"""Adaptive threshold that keeps gossip on sent work within a byte budget."""

from attrs import define

# Shorter work is finished before a peer could act on an update about it.
MIN_WORK_S = 0.1
# The threshold is multiplied by this factor when the budget is exhausted, and decays
# with the half-life below.
RISE_FACTOR = 1.25
HALF_LIFE_S = 5.0
# Unused budget accumulates up to this many seconds of the byte rate.
BURST_WINDOW_S = 2.0


@define
class GossipThreshold:
    """Keeps updates within a byte rate by admitting only sufficiently long work.

    A token bucket holds the byte budget, and the threshold rises when it is empty. In a
    larger fleet each update goes to more receivers and costs more bytes. The threshold
    is then higher, so that only longer work is sent and the byte rate stays the same.
    """

    bytes_per_s: float
    min_work_s: float = MIN_WORK_S
    budget_bytes: float = 0.0
    updated_s: float = 0.0

    def admits(self, work_s: float, cost_bytes: int, now_s: float) -> bool:
        """Return whether to send the update now, and charge its cost if so.

        A single update may overdraw the budget.
        """
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        refilled_bytes = self.budget_bytes + elapsed_s * self.bytes_per_s
        self.budget_bytes = min(BURST_WINDOW_S * self.bytes_per_s, refilled_bytes)
        decayed_s = self.min_work_s * 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.min_work_s = max(MIN_WORK_S, decayed_s)
        if work_s < self.min_work_s:
            return False
        if self.budget_bytes <= 0.0:
            self.min_work_s *= RISE_FACTOR
            return False
        self.budget_bytes -= cost_bytes
        return True
