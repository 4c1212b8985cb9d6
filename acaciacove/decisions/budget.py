"""Budget of retries and hedges, as a share of the requests."""

from attrs import define


@define
class Budget:
    """Token bucket: first attempts add tokens, extra attempts consume them.

    When endpoints fail, all callers retry at the same time, and the retries alone can
    keep the fleet overloaded. The budget limits them to ``share`` of the first
    attempts, plus at most ``burst`` saved ones.
    """

    share: float
    burst: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Add the tokens of one first attempt."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def spend(self) -> bool:
        """Consume one token for an extra attempt and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
