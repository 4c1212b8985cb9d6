"""Detects whether the platform's log is slow or down."""

from attrs import define

from acaciacove.state.log_status import LogStatus

SLOW_LATENCY_S = 0.5
DOWN_AFTER_FAILURES = 3
LATENCY_SMOOTHING = 0.3


@define
class LogHealth:
    """Statistics of appends and reads, shared by the writer and tails of a process."""

    latency_s: float = 0.0
    consecutive_failures: int = 0
    down_since_s: float | None = None
    appends: int = 0
    reads: int = 0
    failures: int = 0

    @property
    def status(self) -> LogStatus:
        """Return the status as of the last result."""
        if self.down_since_s is not None:
            return LogStatus.DOWN
        return LogStatus.SLOW if self.latency_s > SLOW_LATENCY_S else LogStatus.UP

    def record_success(self, latency_s: float) -> None:
        """Record a reply; ``latency_s`` excludes the wait of a long poll."""
        self.consecutive_failures = 0
        self.down_since_s = None
        self.latency_s += LATENCY_SMOOTHING * (latency_s - self.latency_s)

    def record_failure(self, now_s: float) -> None:
        """Record a request without a usable reply."""
        self.failures += 1
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= DOWN_AFTER_FAILURES
            and self.down_since_s is None
        ):
            self.down_since_s = now_s
