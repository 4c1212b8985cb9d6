"""The choice of a version for one request."""

from attrs import frozen

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.decision import Decision
from acaciacove.fleet.version_id import VersionId


@frozen
class VersionDecision:
    """The version to ask first, and where its answer may escalate to.

    ``ladder`` starts with ``version``; a second element is asked if
    ``should_escalate`` says so. With ``always_escalates`` (a trial) the first answer
    is only rated. ``pinned`` says that a session held to its version.
    """

    version: VersionId
    plan: CascadePlan
    ladder: tuple[VersionId, ...]
    decision: Decision
    always_escalates: bool = False
    pinned: bool = False
