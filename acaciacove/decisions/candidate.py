"""One candidate that a decision weighed."""

from attrs import frozen

from acaciacove.decisions.rejection_reason import RejectionReason


@frozen
class Candidate:
    """A version, endpoint or move by name; ``lost`` is None for the chosen one.

    ``score`` is what the decision compared: cost for versions, expected seconds
    for endpoints; lower is better.
    """

    name: str
    lost: RejectionReason | None = None
    score: float = 0.0
