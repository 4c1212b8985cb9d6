"""Which of a process's decisions are worth telling the others, within a budget."""

from attrs import define

# Shorter work ends before word of it changes anything.
MIN_WORK_S = 0.1
# How much the threshold rises when the budget refuses something above it, and how
# fast it comes down again.
RISE_FACTOR = 1.25
HALF_LIFE_S = 5.0
# What is saved up for a burst.
BURST_WINDOW_S = 2.0


@define
class GossipThreshold:
    """Lets the longest work through that a budget of bytes allows.

    In a larger fleet each word goes to more receivers and costs more: then only
    longer work is told, and the bytes stay as they were.
    """

    bytes_per_s: float
    min_work_s: float = MIN_WORK_S
    budget_bytes: float = 0.0
    updated_s: float = 0.0

    def admits(self, work_s: float, cost_bytes: int, now_s: float) -> bool:
        """Tell whether to say it now; what is said may overdraw the budget."""
        passed_s = now_s - self.updated_s
        self.updated_s = now_s
        earned_bytes = self.budget_bytes + passed_s * self.bytes_per_s
        self.budget_bytes = min(BURST_WINDOW_S * self.bytes_per_s, earned_bytes)
        fallen_s = self.min_work_s * 0.5 ** (passed_s / HALF_LIFE_S)
        self.min_work_s = max(MIN_WORK_S, fallen_s)
        if work_s < self.min_work_s:
            return False
        if self.budget_bytes <= 0.0:
            self.min_work_s *= RISE_FACTOR
            return False
        self.budget_bytes -= cost_bytes
        return True
