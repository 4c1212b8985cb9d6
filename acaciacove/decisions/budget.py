"""Budgets for retries and hedges, as a share of the requests."""

from attrs import define


@define
class Budget:
    """A token bucket that requests fill and extra attempts empty.

    When endpoints fail, every caller retries at once and the retries alone can
    keep the fleet overloaded. Tied to the requests, they add ``share`` at most.
    """

    share: float
    burst: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Count one first attempt."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def spend(self) -> bool:
        """Take one extra attempt, if there is one left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
