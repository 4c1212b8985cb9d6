"""The roll-out guard's word that a version has earned a larger share."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class ExposureRecord:
    """Exposes ``version`` to ``share`` of its traffic, from 0 to 1.

    ``based_on`` is the revision on which the evidence was weighed; a release note
    that has declared the version anew since then starts its roll-out over.
    """

    version: VersionId
    share: float
    instance: str = ""
    based_on: int = -1
