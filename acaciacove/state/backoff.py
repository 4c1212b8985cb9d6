"""Exponential backoff with jitter."""

from random import Random

from attrs import define

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 5.0


@define
class Backoff:
    """Delays that double up to a limit, with jitter so that retries do not coincide."""

    random: Random
    initial_delay_s: float = INITIAL_DELAY_S
    max_delay_s: float = MAX_DELAY_S
    failures: int = 0

    def next_delay_s(self) -> float:
        """Count a failure and return how long to wait before the next attempt."""
        delay_limit_s = min(
            self.max_delay_s, self.initial_delay_s * 2.0 ** min(self.failures, 32)
        )
        self.failures += 1
        return delay_limit_s * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0
