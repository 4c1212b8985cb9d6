"""A claim that holds its key."""

from attrs import define

from acaciacove.state.claim import Claim
from acaciacove.state.outcome import Outcome


@define
class HeldClaim:
    """The claim that won a key, and its outcome once that is in the log.

    The outcome's headers and body are left in the log, at ``outcome_offset``.
    """

    claim: Claim
    outcome: Outcome | None = None
    outcome_offset: int = -1
