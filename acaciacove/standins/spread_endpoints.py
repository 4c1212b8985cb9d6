"""Spreads the replicas of one API over availability zones."""

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
    """Return one replica per item of ``served``, placed in the zones round-robin."""
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
