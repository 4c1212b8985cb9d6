"""Which of a process's decisions are worth telling the others, within a budget."""

from attrs import define

# Shorter work ends before word of it changes anything.
LEAST_WORK_S = 0.1
# How much the threshold rises when the budget refuses something above it, and how
# fast it comes down again.
RISE = 1.25
HALF_LIFE_S = 5.0
# What is saved up for a burst.
BURST_S = 2.0


@define
class TellingThreshold:
    """Lets the longest work through that a budget of bytes allows.

    In a larger fleet each word goes to more receivers and costs more: then only
    longer work is told, and the bytes stay as they were.
    """

    bytes_per_s: float
    least_s: float = LEAST_WORK_S
    left_bytes: float = 0.0
    seen_s: float = 0.0

    def admits(self, work_s: float, cost_bytes: int, now_s: float) -> bool:
        """Tell whether to say it now; what is said may overdraw the budget."""
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
