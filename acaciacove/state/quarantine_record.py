"""The rollout guard's decision to quarantine a version."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class QuarantineRecord:
    """Stops ``version`` on all instances until a release note declares it again.

    ``based_on`` is the release revision at which the evidence was collected. If the
    version has been declared again since then, the record is ignored. -1 skips this
    check.
    """

    version: VersionId
    reason: str
    instance: str = ""
    based_on: int = -1
