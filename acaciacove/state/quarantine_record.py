"""The roll-out guard's word that a version is stopped."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class QuarantineRecord:
    """Stops ``version`` everywhere until a release note declares it anew."""

    version: VersionId
    reason: str
    instance: str = ""
