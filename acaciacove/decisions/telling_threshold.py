"""Adaptive threshold that keeps gossip on sent work within a byte budget."""

from attrs import define

# Shorter work is finished before a peer could act on an update about it.
LEAST_WORK_S = 0.1
# The threshold is multiplied by this factor when the budget is exhausted, and decays
# with the half-life below.
RISE = 1.25
HALF_LIFE_S = 5.0
# Unused budget accumulates up to this many seconds of the byte rate.
BURST_S = 2.0


@define
class TellingThreshold:
    """Token bucket of bytes that admits the longest work items first.

    In a larger fleet each update goes to more receivers and costs more bytes. The
    threshold then rises, so that only longer work is sent and the byte rate stays
    the same.
    """

    bytes_per_s: float
    least_s: float = LEAST_WORK_S
    left_bytes: float = 0.0
    seen_s: float = 0.0

    def admits(self, work_s: float, cost_bytes: int, now_s: float) -> bool:
        """Return whether to send the update now, and charge its cost if so.

        A single update may overdraw the budget.
        """
        passed_s = now_s - self.seen_s
        self.seen_s = now_s
        earned_bytes = self.left_bytes + passed_s * self.bytes_per_s
        self.left_bytes = min(BURST_S * self.bytes_per_s, earned_bytes)
        fallen_s = self.least_s * 0.5 ** (passed_s / HALF_LIFE_S)
        self.least_s = max(LEAST_WORK_S, fallen_s)
        if work_s < self.least_s:
            return False
        if self.left_bytes <= 0.0:
            self.least_s *= RISE
            return False
        self.left_bytes -= cost_bytes
        return True
