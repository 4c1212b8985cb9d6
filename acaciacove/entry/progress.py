"""How far a request has come over its attempts."""

from attrs import define, field

from acaciacove.decisions.version_decision import VersionDecision
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.refused import Refused


@define
class Progress:
    """Attempts made so far and what of the answer the caller already has.

    ``may_have_run`` turns true with the first attempt that an endpoint may have
    seen, after which no refusal may say "not run"; ``is_settled`` once all that was
    asked has answered. ``cost`` sums what finished attempts cost, those that a
    cascade judged short included. ``step`` is the place on the ladder of
    ``decision``; ``last_refused`` is why the last attempt failed; ``asked`` names the
    endpoints that may hold a copy of the bill.
    """

    decision: VersionDecision | None = None
    step: int = 0
    attempts: int = 0
    may_have_run: bool = False
    is_settled: bool = False
    delivered_tokens: int = 0
    delivered_bytes: int = 0
    cost: float = 0.0
    last_refused: Refused | None = None
    failed_endpoints: set[str] = field(factory=set)
    asked: list[str] = field(factory=list)

    @property
    def version(self) -> VersionId | None:
        """Return the version to ask now, once one was chosen."""
        return self.decision.ladder[self.step] if self.decision else None

    @property
    def is_trial(self) -> bool:
        """Tell whether the first answer is only asked to be rated."""
        return self.decision is not None and self.decision.always_escalates

    @property
    def is_begun(self) -> bool:
        """Tell whether the caller already has a part of the answer."""
        return self.delivered_bytes > 0
