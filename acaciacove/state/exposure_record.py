"""The rollout guard's decision to raise a version's share of its traffic."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class ExposureRecord:
    """Sends ``share`` of its traffic, from 0 to 1, to ``version``.

    ``based_on`` is the release revision at which the evidence was evaluated. If a
    later release note has declared the version again, its rollout has restarted and
    the record is ignored. -1 skips this check.
    """

    version: VersionId
    share: float
    instance: str = ""
    based_on: int = -1
