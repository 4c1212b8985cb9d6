"""A version that evidence has stopped."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Quarantine:
    """A version stopped by the roll-out guard at log offset ``revision``."""

    version: VersionId
    reason: str
    revision: int
