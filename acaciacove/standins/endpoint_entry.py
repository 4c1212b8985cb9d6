"""One endpoint of a fleet file."""

from attrs import frozen

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.version_id import VersionId


@frozen
class EndpointEntry:
    """A model engine with its versions and their true quality, or a plain service."""

    port: int
    kind: ApiKind
    versions: tuple[VersionId, ...] = ()
    quality: float = 0.5
    token_s: float = 0.0
