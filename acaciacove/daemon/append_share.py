"""Share of the log's append rate that one process of the fleet may use."""

from collections.abc import Iterable

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.state.append_budget import split_append_rates
from acaciacove.state.log_writer_settings import LogWriterSettings


def append_share(instances: Iterable[Instance], fleet: FleetState) -> LogWriterSettings:
    """Return the log writer settings of one process in a fleet of these instances.

    With a fixed rate per process, the total would grow with the fleet until the log
    also refuses the operators' release notes. Entries append billing records and
    endpoints of plain services append claims. While it is unknown what the
    endpoints serve, all of them count as owners of claims.
    """
    listed = list(instances)
    entries = sum(instance.role is Role.ENTRY for instance in listed)
    endpoints = [i for i in listed if i.role is Role.ENDPOINT]
    services = sum(_serves_plain_service(endpoint, fleet) for endpoint in endpoints)
    return split_append_rates(
        LogWriterSettings(),
        claim_owners=services or len(endpoints),
        billing_processes=entries,
    )


def _serves_plain_service(endpoint: Instance, fleet: FleetState) -> bool:
    """Return whether an endpoint serves a plain service."""
    for version in endpoint.versions:
        declared = fleet.versions.get(version)
        api = fleet.apis.get(declared.api) if declared else None
        if api is not None and api.kind is ApiKind.SERVICE:
            return True
    return False
