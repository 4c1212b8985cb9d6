"""The rollout guard's decision to raise the traffic share of a version."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class ExposureRecord:
    """Raises the traffic share of ``version`` to ``share``, from 0 to 1.

    ``based_on`` is the release revision at which the evidence was evaluated. If a
    later release note has declared the version again, its rollout has restarted and
    the record is ignored. -1 skips this check.
    """

    version: VersionId
    share: float
    instance: str = ""
    based_on: int = -1
