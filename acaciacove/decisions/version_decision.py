"""Version that was chosen for one request."""

from attrs import frozen

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.decision import Decision
from acaciacove.fleet.version_id import VersionId


@frozen
class VersionDecision:
    """Version to query first, and the version that its answer may escalate to.

    ``ladder`` starts with ``version``. A second version is queried if
    ``should_escalate`` returns True. With ``always_escalates`` (a trial) the first
    answer is only rated. ``pinned`` is True if the session is pinned to its version.
    """

    version: VersionId
    plan: CascadePlan
    ladder: tuple[VersionId, ...]
    decision: Decision
    always_escalates: bool = False
    pinned: bool = False
