"""Progress of a request over its attempts."""

from attrs import define, field

from acaciacove.decisions.version_decision import VersionDecision
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.refused import Refused


@define
class Progress:
    """Attempts made so far and how much of the answer the caller has received.

    ``may_have_run`` becomes true with the first attempt that an endpoint may have
    executed. From then on no refusal may say "not run". ``all_attempts_ended``
    becomes true when no attempt is pending any more. ``cost`` is the total of all
    finished attempts, including those whose answers a cascade replaced.
    ``ladder_index`` is the index on the ladder of ``decision``. ``last_refused`` is
    the reason for which the last attempt failed. ``attempted_endpoints`` names the
    endpoints that may hold a copy of the billing record.
    """

    decision: VersionDecision | None = None
    ladder_index: int = 0
    attempts: int = 0
    may_have_run: bool = False
    all_attempts_ended: bool = False
    delivered_tokens: int = 0
    delivered_bytes: int = 0
    cost: float = 0.0
    last_refused: Refused | None = None
    failed_endpoints: set[str] = field(factory=set)
    attempted_endpoints: list[str] = field(factory=list)

    @property
    def version(self) -> VersionId | None:
        """Return the version of the next attempt, once one was chosen."""
        return self.decision.ladder[self.ladder_index] if self.decision else None

    @property
    def is_trial(self) -> bool:
        """Return whether the first answer is a trial that is only to be rated."""
        return self.decision is not None and self.decision.always_escalates

    @property
    def has_delivered(self) -> bool:
        """Return whether the caller has received part of the answer."""
        return self.delivered_bytes > 0
