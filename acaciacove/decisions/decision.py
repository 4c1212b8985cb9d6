"""A decision with everything that its log line needs."""

from attrs import frozen

from acaciacove.decisions.candidate import Candidate
from acaciacove.decisions.decision_kind import DecisionKind


@frozen
class Decision:
    """The chosen candidate, all candidates, and why each other one was not chosen.

    ``chosen`` is empty if there was no usable candidate. ``why`` is a short, stable
    code.
    """

    kind: DecisionKind
    chosen: str
    candidates: tuple[Candidate, ...] = ()
    why: str = ""

    def line(self) -> str:
        """Return the log line: ``key=value`` fields in a fixed order."""
        others = ",".join(
            f"{c.name}:{c.lost}:{c.score:.4g}" for c in self.candidates if c.lost
        )
        return (
            f"decision={self.kind} chosen={self.chosen or '-'} "
            f"why={self.why or '-'} lost={others or '-'}"
        )
