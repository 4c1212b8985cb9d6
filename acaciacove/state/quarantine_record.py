"""The roll-out guard's word that a version is stopped."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class QuarantineRecord:
    """Stops ``version`` everywhere until a release note declares it anew.

    ``based_on`` is the release revision under which the evidence was gathered; a
    version that was declared again since is not stopped by it. -1 stops it anyway.
    """

    version: VersionId
    reason: str
    instance: str = ""
    based_on: int = -1
