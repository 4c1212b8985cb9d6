"""One endpoint of a deployment."""

from attrs import frozen

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.version_id import VersionId
from acaciacove.standins.engine_profile import EngineProfile


@frozen
class EndpointSpec:
    """An endpoint's zone, its versions and the performance of its engine."""

    name: str
    api: str
    kind: ApiKind
    availability_zone: str
    versions: tuple[VersionId, ...]
    profile: EngineProfile = EngineProfile()
