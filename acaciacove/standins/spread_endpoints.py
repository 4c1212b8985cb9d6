"""Replicas of one API, spread over availability zones."""

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.version_id import VersionId
from acaciacove.standins.endpoint_spec import EndpointSpec
from acaciacove.standins.engine_profile import EngineProfile


def spread_endpoints(
    api: str,
    kind: ApiKind,
    zones: tuple[str, ...],
    served: tuple[VersionId, ...],
    profile: EngineProfile | None = None,
) -> tuple[EndpointSpec, ...]:
    """Place one replica a served version, zone by zone in turn."""
    return tuple(
        EndpointSpec(
            name=f"{api}-{number + 1}",
            api=api,
            kind=kind,
            availability_zone=zones[number % len(zones)],
            versions=(version,),
            profile=profile or EngineProfile(),
        )
        for number, version in enumerate(served)
    )
