"""The entry's view of endpoints, and the choices that it makes on it."""

from random import Random

from attrs import define, field

from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.progress import Progress
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal


@define
class Router:
    """Endpoints by name with the attempts that this entry has open on each."""

    rng: Random
    endpoints: dict[str, Instance] = field(factory=dict)
    in_flight: dict[str, int] = field(factory=dict)

    def update(self, instances: list[Instance]) -> None:
        """Take over the endpoints of a list of instances."""
        self.endpoints = {i.name: i for i in instances if i.role is Role.ENDPOINT}

    def choose_version(
        self, fleet: FleetState, request: CallerRequest, progress: Progress
    ) -> Version | Refusal:
        """Choose the cheapest version that is allowed and not yet judged short."""
        known = fleet.versions_of(request.api.name)
        allowed = [v for v in known if request.organisation.allows(v.id)]
        if not allowed:
            return Refusal(Reason.NOT_ALLOWED, True, f"api {request.api.name}")
        usable = [
            v
            for v in allowed
            if fleet.is_usable(v.id) and v.id not in progress.short_versions
        ]
        if not usable:
            return Refusal(Reason.VERSION_WITHDRAWN, True)
        return min(usable, key=lambda version: version.cost_per_1k_tokens)

    def choose_endpoint(
        self, fleet: FleetState, version: Version, progress: Progress
    ) -> Instance | Refusal:
        """Choose between two random live endpoints by open attempts."""
        live = [
            e
            for e in self.endpoints.values()
            if version.id in e.versions
            and e.status is InstanceStatus.LIVE
            and e.availability_zone not in fleet.availability_zones_out
            and e.name not in fleet.instances_out
            and e.name not in progress.failed_endpoints
        ]
        if not live:
            return Refusal(Reason.NO_ENDPOINT, True, str(version.id), 1.0)
        pair = self.rng.sample(live, min(2, len(live)))
        return min(pair, key=lambda endpoint: self.in_flight.get(endpoint.name, 0))

    def started(self, endpoint: str) -> None:
        """Count an attempt that was sent."""
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1

    def finished(self, endpoint: str) -> None:
        """Count an attempt that has ended."""
        self.in_flight[endpoint] -= 1
