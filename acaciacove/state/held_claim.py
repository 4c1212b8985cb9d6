"""Claim that holds its key."""

from attrs import define

from acaciacove.state.claim import Claim
from acaciacove.state.outcome import Outcome


@define
class HeldClaim:
    """First claim of a key, and its outcome once that is in the log.

    The headers and body of the outcome are only in the log, at ``outcome_offset``.
    """

    claim: Claim
    outcome: Outcome | None = None
    outcome_offset: int = -1
