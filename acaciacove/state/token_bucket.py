"""Token bucket whose callers pass the current time."""

from attrs import define, field

ROUNDING_TOLERANCE = 1e-6


@define
class TokenBucket:
    """Token bucket with a rate of ``rate_per_s`` and a capacity of ``burst`` tokens."""

    rate_per_s: float
    burst: float
    updated_s: float = 0.0
    tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = self.burst

    def refill(self, now_s: float) -> float:
        """Add the accrued tokens and return the number of available tokens."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_s = max(self.updated_s, now_s)
        return self.tokens

    def take(self, now_s: float, tokens: float = 1.0) -> bool:
        """Take tokens if enough are available; return whether they were taken."""
        if self.refill(now_s) + ROUNDING_TOLERANCE < tokens:
            return False
        self.tokens -= tokens
        return True

    def spend(self, now_s: float, tokens: float = 1.0) -> None:
        """Take tokens even if they have not all accrued yet.

        A timer may fire a fraction of a millisecond early. If its work were done
        without taking tokens, they would remain for the next call, and the rate
        would be exceeded by a fifth.
        """
        self.refill(now_s)
        self.tokens -= tokens

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return the time until ``tokens`` can be taken."""
        missing_tokens = tokens - self.refill(now_s)
        return (
            missing_tokens / self.rate_per_s
            if missing_tokens > ROUNDING_TOLERANCE
            else 0.0
        )
