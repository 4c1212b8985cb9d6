"""Exponential backoff with full jitter."""

from random import Random

from attrs import define

FIRST_S = 0.05
LIMIT_S = 5.0


@define
class Backoff:
    """Delays that double up to a limit; jitter keeps processes from retrying as one."""

    random: Random
    first_s: float = FIRST_S
    limit_s: float = LIMIT_S
    failures: int = 0

    def next_delay_s(self) -> float:
        """Count a failure and return how long to wait before the next attempt."""
        ceiling_s = min(self.limit_s, self.first_s * 2.0 ** min(self.failures, 32))
        self.failures += 1
        return ceiling_s * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0
