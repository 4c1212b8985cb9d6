"""One process's share of the fleet's log appends, by who is in the fleet."""

from collections.abc import Iterable

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.state.append_budget import shared_settings
from acaciacove.state.log_writer_settings import LogWriterSettings


def append_share(instances: Iterable[Instance], fleet: FleetState) -> LogWriterSettings:
    """Return the settings of a log writer in a fleet of these instances.

    Rates that each process chose for itself would add up with the fleet, until the
    log refuses operators' notes as well. Entries bill; endpoints of plain services
    claim, or every endpoint while nothing is known of what they serve.
    """
    listed = list(instances)
    entries = sum(instance.role is Role.ENTRY for instance in listed)
    endpoints = [i for i in listed if i.role is Role.ENDPOINT]
    services = sum(_serves_plain_service(endpoint, fleet) for endpoint in endpoints)
    return shared_settings(
        LogWriterSettings(),
        claim_owners=services or len(endpoints),
        billing_processes=entries,
    )


def _serves_plain_service(endpoint: Instance, fleet: FleetState) -> bool:
    """Tell whether an endpoint stands for a plain service."""
    for version in endpoint.versions:
        declared = fleet.versions.get(version)
        api = fleet.apis.get(declared.api) if declared else None
        if api is not None and api.kind is ApiKind.SERVICE:
            return True
    return False
