"""A decision, whole enough to explain itself in one log line."""

from attrs import frozen

from acaciacove.decisions.candidate import Candidate
from acaciacove.decisions.decision_kind import DecisionKind


@frozen
class Decision:
    """What was chosen, every candidate, and why each other one lost.

    ``chosen`` is empty when nothing could be. ``why`` is a short stable phrase.
    """

    kind: DecisionKind
    chosen: str
    candidates: tuple[Candidate, ...] = ()
    why: str = ""

    def line(self) -> str:
        """Write the log line, ``key=value`` fields in a fixed order."""
        others = ",".join(
            f"{c.name}:{c.lost}:{c.score:.4g}" for c in self.candidates if c.lost
        )
        return (
            f"decision={self.kind} chosen={self.chosen or '-'} "
            f"why={self.why or '-'} lost={others or '-'}"
        )
