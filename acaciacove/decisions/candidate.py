"""One candidate of a decision."""

from attrs import frozen

from acaciacove.decisions.rejection_reason import RejectionReason


@frozen
class Candidate:
    """Version, endpoint or move that a decision considered.

    ``lost`` is the reason why it was not chosen, None for the chosen candidate.
    ``score`` is the compared value: cost for versions, expected seconds for
    endpoints. Lower is better.
    """

    name: str
    lost: RejectionReason | None = None
    score: float = 0.0
