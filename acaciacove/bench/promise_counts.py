"""Counts the checks of each promise, and those that found it broken."""

from attrs import define, field

PROMISES = (
    "allowed",
    "withdrawal",
    "pins",
    "billing",
    "ramp",
    "zone",
    "answers",
    "not_run",
    "claims",
    "leaving",
    "shutdown",
    "spread",
    "fencing",
)
KEPT_DETAILS = 20


@define
class PromiseCounts:
    """Checks made and violations found, by promise; the first details are kept."""

    checks: dict[str, int] = field(factory=lambda: dict.fromkeys(PROMISES, 0))
    violations: dict[str, int] = field(factory=lambda: dict.fromkeys(PROMISES, 0))
    details: list[str] = field(factory=list)

    def check(self, promise: str, kept: bool, detail: str = "") -> None:
        """Count one check."""
        self.checks[promise] += 1
        if kept:
            return
        self.violations[promise] += 1
        if len(self.details) < KEPT_DETAILS:
            self.details.append(f"{promise}: {detail}")
