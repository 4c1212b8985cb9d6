"""One move of a placement plan."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class PlacementMove:
    """``endpoint`` loads version ``load`` in place of ``instead_of``."""

    endpoint: str
    load: VersionId
    instead_of: VersionId
