"""Chooses versions and endpoints from the entry's view of the fleet."""

import asyncio
from random import Random

from attrs import define, evolve, field

from acaciacove.decisions.endpoint_choice import choose_endpoint
from acaciacove.decisions.endpoint_decision import EndpointDecision
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.exposures import exposures
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.subset import choose_subset
from acaciacove.decisions.version_choice import choose_version
from acaciacove.decisions.version_decision import VersionDecision
from acaciacove.decisions.version_holders import planned_versions
from acaciacove.decisions.zone_moves import ZoneMoves
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.progress import Progress
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.load import Load
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.claim_key import claim_key
from acaciacove.state.rendezvous import partition_of, preferred_owner

RETRY_AFTER_S = 1.0
SESSION_PARTITIONS = 4096
MISSING_VERSION_TTL_S = 2.0


@define(eq=False)
class Router:
    """State behind the entry's decisions; the decisions themselves are functions.

    ``subsets`` holds this entry's bounded set of endpoints for each version.
    ``serving`` holds all endpoints of each version, for calls that have a preferred
    owner.
    """

    name: str
    rng: Random
    subset_size: int
    estimates: QualityEstimates
    plans: PlanCache
    zone_moves: ZoneMoves = field(factory=ZoneMoves)
    views: dict[str, EndpointView] = field(factory=dict)
    subsets: dict[VersionId, tuple[Instance, ...]] = field(factory=dict)
    serving: dict[VersionId, tuple[Instance, ...]] = field(factory=dict)
    missing_until_s: dict[tuple[str, VersionId], float] = field(factory=dict)

    def update(self, instances: list[Instance], fleet: FleetState) -> None:
        """Update the endpoints for a changed fleet and rebuild the subsets.

        Endpoints that remain retain their views.
        """
        entries = [i.name for i in instances if i.role is Role.ENTRY]
        listed = [i for i in instances if i.role is Role.ENDPOINT]
        planned = planned_versions(fleet, listed)
        endpoints = [
            evolve(e, versions=(*e.versions, *sorted(planned[e.name]))) for e in listed
        ]
        self.zone_moves.update(fleet, _now_s())
        names = {endpoint.name for endpoint in endpoints}
        self.views = {n: view for n, view in self.views.items() if n in names}
        for endpoint in endpoints:
            self._view_of(endpoint).instance = endpoint
        self.serving = {
            version: tuple(e for e in endpoints if version in e.versions)
            for version in {v for e in endpoints for v in e.versions}
        }
        self.subsets = {
            version: choose_subset(self.name, entries, serving, self.subset_size)
            for version, serving in self.serving.items()
        }

    def choose_version(
        self, fleet: FleetState, request: CallerRequest
    ) -> VersionDecision | Refusal:
        """Choose the first version and the ladder to escalate on.

        A version that the caller has named is never replaced by another one.
        """
        if request.requested_version is not None:
            refusal = self._refuse_requested(fleet, request, request.requested_version)
            if refusal is not None:
                return refusal
        pinned = request.requested_version or request.pinned
        if pinned is not None and pinned not in self.subsets:
            # Its endpoints are out or lost at present. Choosing another version
            # would move the session, which only a withdrawal may do.
            return Refusal(Reason.NO_ENDPOINT, True, str(pinned), RETRY_AFTER_S)
        return choose_version(
            fleet,
            request.organisation,
            request.api,
            request.request_class,
            self.plans,
            self.rng,
            pinned=pinned,
            session=request.session,
            shares=exposures(fleet),
            serving=self._served_versions()
            if pinned
            else self._available_versions(fleet),
        )

    def _available_versions(self, fleet: FleetState) -> set[VersionId]:
        """Return the versions with an endpoint that operators have not taken out.

        Otherwise a cheap version whose zones are all out would still be chosen, and
        its callers refused although a more expensive version is available. If all
        are out, all are returned, so that the refusal names the reason.
        """
        served = self._served_versions()
        now_s = _now_s()
        available = {
            version
            for version in served
            if any(
                _is_available(i, fleet) for i in self._endpoints_with(version, now_s)
            )
        }
        return available or served

    def _refuse_requested(
        self, fleet: FleetState, request: CallerRequest, requested: VersionId
    ) -> Refusal | None:
        """Refuse a requested version that is not allowed, not usable or not served.

        Otherwise another version would be chosen. A caller that requested the
        expensive version would get the answer of the cheap one with status 200.
        """
        if not request.organisation.allows(requested):
            detail = f"{request.organisation.name} may not reach {requested}"
            return Refusal(Reason.NOT_ALLOWED, True, detail)
        if not fleet.is_usable(requested):
            detail = f"{requested} is no longer served"
            return Refusal(Reason.VERSION_WITHDRAWN, True, detail)
        if requested not in self.subsets:
            return Refusal(Reason.NO_ENDPOINT, True, str(requested), 1.0)
        return None

    def choose_endpoint(
        self,
        fleet: FleetState,
        request: CallerRequest,
        version: VersionId,
        progress: Progress,
    ) -> EndpointDecision | Refusal:
        """Choose one of this entry's endpoints for a version."""
        now_s = _now_s()
        subset = self._endpoints_with(version, now_s)
        if request.non_idempotent:
            subset = self._preferred_owner(fleet, request, version, progress)
        if not subset:
            return Refusal(Reason.NO_ENDPOINT, True, str(version), RETRY_AFTER_S)
        zones = {instance.availability_zone for instance in subset}
        return choose_endpoint(
            subset,
            self.views,
            now_s,
            self.rng,
            fleet,
            excluded=progress.failed_endpoints,
            session_endpoint=_session_endpoint(request, subset),
            prefix_hash=request.prefix_hash,
            organisation=request.organisation.name,
            zone_shares={zone: self.zone_moves.share(zone, now_s) for zone in zones},
        )

    def _served_versions(self) -> set[VersionId]:
        """Return the versions that at least one endpoint is expected to hold."""
        now_s = _now_s()
        return {
            version for version in self.subsets if self._endpoints_with(version, now_s)
        }

    def record_missing_version(self, endpoint: Instance, version: VersionId) -> None:
        """Record that an endpoint does not hold a version yet."""
        self.missing_until_s[(endpoint.name, version)] = (
            _now_s() + MISSING_VERSION_TTL_S
        )

    def _endpoints_with(self, version: VersionId, now_s: float) -> tuple[Instance, ...]:
        """Return this entry's endpoints of a version, except those still loading it.

        The endpoints come from the placement plan, which is ahead of the engines.
        Without ``missing_until_s`` every request would try the same endpoint in vain
        and use up retries.
        """
        subset = self.subsets.get(version, ())
        if not self.missing_until_s:
            return subset
        self.missing_until_s = {
            k: expires_at_s
            for k, expires_at_s in self.missing_until_s.items()
            if expires_at_s > now_s
        }
        return tuple(e for e in subset if (e.name, version) not in self.missing_until_s)

    def _preferred_owner(
        self,
        fleet: FleetState,
        request: CallerRequest,
        version: VersionId,
        progress: Progress,
    ) -> tuple[Instance, ...]:
        """Return the preferred owner of the request's key, if one is available.

        Every entry chooses the same endpoint, so a retry usually reaches the endpoint
        of the first attempt. Only the log decides which endpoint runs the call.
        """
        candidates = {
            e.name: e
            for e in self.serving.get(version, ())
            if e.availability_zone not in fleet.availability_zones_out
            and e.name not in fleet.instances_out
            and e.name not in progress.failed_endpoints
        }
        key = claim_key(
            request.organisation.name, request.api.name, request.idempotency_key
        )
        owner = preferred_owner(partition_of(key), candidates)
        return (candidates[owner],) if owner else ()

    def sent(self, endpoint: Instance, request: CallerRequest) -> None:
        """Record that an attempt was sent to an endpoint."""
        self._view_of(endpoint).sent(
            _now_s(), request.prefix_hash, request.organisation.name
        )

    def ended(
        self, endpoint: Instance, request: CallerRequest, load: Load | None, ok: bool
    ) -> None:
        """Record the end of an attempt and the load that its answer reported."""
        view = self._view_of(endpoint)
        now_s = _now_s()
        view.ended(ok, now_s, request.organisation.name)
        if load is not None:
            view.reported(load, now_s)

    def reported(self, endpoint: str, load: Load) -> None:
        """Apply a load report that arrived without an answer."""
        view = self.views.get(endpoint)
        if view is not None:
            view.reported(load, _now_s())

    def _view_of(self, endpoint: Instance) -> EndpointView:
        view = self.views.get(endpoint.name)
        if view is None:
            view = self.views[endpoint.name] = EndpointView(endpoint)
        return view


def _session_endpoint(request: CallerRequest, subset: tuple[Instance, ...]) -> str:
    """Return the endpoint whose cache is likely to hold the session, or "".

    It is chosen by hash, so that it stays the same when an entry is replaced.
    """
    if not request.session:
        return ""
    key = partition_of(request.session, SESSION_PARTITIONS)
    return preferred_owner(key, (endpoint.name for endpoint in subset)) or ""


def _is_available(instance: Instance, fleet: FleetState) -> bool:
    """Return whether operators have taken out neither the instance nor its zone."""
    return (
        instance.availability_zone not in fleet.availability_zones_out
        and instance.name not in fleet.instances_out
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
