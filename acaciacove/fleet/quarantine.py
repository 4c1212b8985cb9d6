"""Quarantine of a version."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Quarantine:
    """A version that the roll-out guard stopped, recorded at offset ``revision``."""

    version: VersionId
    reason: str
    revision: int
