"""One fault of a soak's plan."""

from attrs import frozen

from acaciacove.soak.fault_kind import FaultKind


@frozen
class PlannedFault:
    """``kind`` befalls ``target`` at ``at_s`` of the run, for ``for_s``.

    ``number`` is its place in the plan, by which it can be left out of a replay.
    """

    number: int
    at_s: float
    kind: FaultKind
    target: int
    for_s: float

    def __str__(self) -> str:
        """Return one line of the printed plan."""
        return (
            f"{self.number:3d}  {self.at_s:7.2f} s  {self.kind.value} "
            f"{self.target}  for {self.for_s:.2f} s"
        )
