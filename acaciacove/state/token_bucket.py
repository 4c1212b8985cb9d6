"""A token bucket that reads the time it is handed."""

from attrs import define, field

ROUNDING_TOLERANCE = 1e-6


@define
class TokenBucket:
    """Allows ``rate_per_s`` takes a second and ``burst`` at once after a rest."""

    rate_per_s: float
    burst: float
    updated_s: float = 0.0
    tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start full."""
        self.tokens = self.burst

    def refill(self, now_s: float) -> float:
        """Add what has accrued and return the tokens there are."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)
        return self.tokens

    def take(self, now_s: float, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough."""
        if self.refill(now_s) + ROUNDING_TOLERANCE < tokens:
            return False
        self.tokens -= tokens
        return True

    def spend(self, now_s: float, tokens: float = 1.0) -> None:
        """Take tokens whether or not they have all accrued yet.

        A timer may fire a fraction of a millisecond early. If such a take were
        refused and the work done all the same, the next one would be free, and the
        rate would be exceeded by a fifth.
        """
        self.refill(now_s)
        self.tokens -= tokens

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return the seconds until ``tokens`` can be taken."""
        missing_tokens = tokens - self.refill(now_s)
        return (
            missing_tokens / self.rate_per_s
            if missing_tokens > ROUNDING_TOLERANCE
            else 0.0
        )
