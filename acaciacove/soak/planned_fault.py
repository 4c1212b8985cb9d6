"""One fault of a soak's plan."""

from attrs import frozen

from acaciacove.soak.fault_kind import FaultKind


@frozen
class PlannedFault:
    """A fault of ``target`` at ``at_s`` of the run, which lasts ``duration_s``.

    ``number`` is its position in the plan. A replay selects faults by it.
    """

    number: int
    at_s: float
    kind: FaultKind
    target: int
    duration_s: float

    def __str__(self) -> str:
        """Return one line of the printed plan."""
        return (
            f"{self.number:3d}  {self.at_s:7.2f} s  {self.kind.value} "
            f"{self.target}  for {self.duration_s:.2f} s"
        )
