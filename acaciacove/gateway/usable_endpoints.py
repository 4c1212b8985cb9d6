"""Which endpoints may be sent a request at all."""

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.cold_limiter import gateway_share
from acaciacove.gateway.choose_version import filter_by_version
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.fleet_limits import (
    local_share,
    may_send,
    with_free_connections,
)
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext

# Of what a cold endpoint is promised to bear with the allowed overage, the share
# that is planned with.
COLD_MARGIN = 0.85
# A cold endpoint dies of a rate well above its own; this much above is borne.
MAX_COLD_RATE_FACTOR = 1.2
# How long after a connection broke an endpoint may have started again without its
# new record being read here: a restart, the record's way, and one pause between
# two reads of heartbeats.
SUSPECT_PERIOD_S = 2.1


def usable_endpoints(
    gateway: Gateway, context: RequestContext, now_s: float
) -> list[EndpointState]:
    """List endpoints that may be used, without those already tried if possible."""
    allowed = filter_by_version(
        gateway, context, _allowed_endpoints(gateway, context), now_s
    )
    states = [gateway.states.of(endpoint) for endpoint in allowed]
    usable = _within_limits(gateway, context, states, now_s)
    fresh = [s for s in usable if s.endpoint.instance not in context.tried_instances]
    sound = [s for s in fresh or usable if not s.health.is_ejected(now_s)]
    return sound or fresh or usable


def next_slot_in_s(
    gateway: Gateway, context: RequestContext, now_s: float
) -> float | None:
    """Return when a limited endpoint takes one more from here; None if none does."""
    states = [gateway.states.of(each) for each in _allowed_endpoints(gateway, context)]
    waits = [
        state.stated_limit.next_slot_in_s(now_s, local_share(gateway, state, now_s))
        for state in states
        if state.stated_limit.is_set(now_s)
    ]
    return min((wait_s for wait_s in waits if wait_s is not None), default=None)


def _allowed_endpoints(gateway: Gateway, context: RequestContext) -> list[Endpoint]:
    """List the service's endpoints that the operator's decisions allow."""
    service, zones_out = context.service.name, gateway.view.zones_out
    endpoints = [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if endpoint.service == service
        and not endpoint.draining
        and endpoint.availability_zone not in zones_out
    ]
    homes = [context.route.allowed_regions]
    if context.organisation is not None:
        homes.append(context.organisation.allowed_regions)
    region_of = gateway.settings.region_of_zone
    for home in homes:
        if home:
            endpoints = [
                endpoint
                for endpoint in endpoints
                if region_of.get(endpoint.availability_zone, "") in home
            ]
    return endpoints


def _within_limits(
    gateway: Gateway, context: RequestContext, states: list[EndpointState], now_s: float
) -> list[EndpointState]:
    """Leave endpoints to which this gateway's parts of the limits let it send."""
    if context.service.connection_limit:
        states = with_free_connections(
            gateway, context.service.connection_limit, states
        )
    states = [
        state
        for state in states
        if state.stated_limit.per_s is None or may_send(gateway, state, now_s)
    ]
    if context.service.cold_rate_per_s <= 0:
        return states
    return [
        state for state in states if _has_cold_capacity(gateway, context, state, now_s)
    ]


def _has_cold_capacity(
    gateway: Gateway, context: RequestContext, state: EndpointState, now_s: float
) -> bool:
    share = cold_share(gateway, context, state, now_s)
    return share is None or state.cold_limiter.allows(now_s, share)


def cold_share(
    gateway: Gateway, context: RequestContext, state: EndpointState, now_s: float
) -> int | None:
    """Return the requests a second for a cold endpoint; None when it is warm.

    An endpoint whose connections broke may have started again, cold, before its
    next heartbeat says so; until then it counts as cold.
    """
    service = context.service
    if service.cold_rate_per_s <= 0:
        return None
    endpoint = state.endpoint
    if endpoint.cold_until_s <= now_s and not is_suspect(state, now_s):
        return None
    if not gateway.members_loaded:
        # Whose part is how large cannot be worked out yet; others may send theirs.
        return 0
    settings = gateway.settings
    promised = service.cold_rate_per_s * settings.cold_overage + settings.cold_extra
    limit = min(promised * COLD_MARGIN, service.cold_rate_per_s * MAX_COLD_RATE_FACTOR)
    return gateway_share(limit, endpoint.instance, settings.name, gateway.peers)


def is_suspect(state: EndpointState, now_s: float) -> bool:
    """Tell whether a connection broke so lately that a restart may not be known."""
    return now_s - state.health.disconnected_s < SUSPECT_PERIOD_S
