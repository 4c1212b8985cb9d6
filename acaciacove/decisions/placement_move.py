"""One change of placement."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class PlacementMove:
    """Have ``endpoint`` load ``load`` in place of ``instead_of``."""

    endpoint: str
    load: VersionId
    instead_of: VersionId
