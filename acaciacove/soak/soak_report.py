"""Result of a soak."""

from collections import Counter

from attrs import frozen

from acaciacove.soak.fault_kind import FaultKind
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.violation import Violation


@frozen
class SoakReport:
    """Counts of a run, and the promises that were broken in it.

    ``answers`` counts calls by status; calls without an answer count as "none".
    ``served_after_recovery`` is the number of calls served and sent.
    """

    plan: tuple[PlannedFault, ...]
    injected: Counter[FaultKind]
    answers: Counter[str]
    arrivals: int
    overload_refusals: int
    slow_calls: Counter[str]
    stalls: int
    served_after_recovery: tuple[int, int]
    violations: tuple[Violation, ...]
    log_folder: str

    def text(self) -> str:
        """Return the report as human-readable lines."""
        served, sent = self.served_after_recovery
        answers = ", ".join(f"{k}: {n}" for k, n in sorted(self.answers.items()))
        faults = ", ".join(f"{k.value}: {n}" for k, n in sorted(self.injected.items()))
        slow = ", ".join(f"{k}: {n}" for k, n in sorted(self.slow_calls.items()))
        lines = [
            f"requests by answer: {answers}",
            f"arrivals at endpoints: {self.arrivals}",
            f"refusals by overload control: {self.overload_refusals}",
            f"answers to slow callers: {slow}",
            f"faults played: {faults or 'none'}",
            f"served once all was back: {served} of {sent}",
            f"stalls of this machine, left out of checks with a time: {self.stalls}",
            f"logs: {self.log_folder}",
        ]
        lines += [f"BROKEN {v.promise.value}: {v.detail}" for v in self.violations]
        lines.append(f"{len(self.violations)} violations")
        return "\n".join(lines)
