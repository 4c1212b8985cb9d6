"""Selects the endpoints that a request may be sent to."""

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

# Share of a cold endpoint's allowed rate, with the permitted overage, that is used.
COLD_MARGIN = 0.85
# A cold endpoint crashes at a rate well above its own. It can serve this multiple of
# its own rate.
MAX_COLD_RATE_FACTOR = 1.2
# For this long after a connection broke, the endpoint may have restarted without its
# new record being read here: the time of a restart, of the record's transmission, and
# one interval between two reads of heartbeats.
SUSPECT_PERIOD_S = 2.1
# The same for endpoints of a zone that has been taken back, which may become cold at
# that moment: two intervals between reads of their records.
ZONE_RETURN_S = 1.0


def usable_endpoints(
    gateway: Gateway, context: RequestContext, now_s: float
) -> list[EndpointState]:
    """Return the usable endpoints, without those already tried if possible.

    A request that may run only once goes to each endpoint once. After a second send, a
    copy of the refusal of the first one would say "not run" of a request that runs: it
    has the same id, and may come at any moment and on any connection of the endpoint.
    """
    willing = _willing_endpoints(gateway, context, now_s)
    states = [gateway.states.of(endpoint) for endpoint in willing]
    if not context.route.may_repeat:
        states = [s for s in states if s.endpoint.key not in context.sent_to]
    usable = _within_limits(gateway, context, states, now_s)
    untried = [s for s in usable if s.endpoint.instance not in context.tried_instances]
    healthy = [s for s in untried or usable if not s.health.is_ejected(now_s)]
    return healthy or untried or usable


def _willing_endpoints(
    gateway: Gateway, context: RequestContext, now_s: float
) -> list[Endpoint]:
    """Return the endpoints of the request's version that do not rest.

    While all of them rest, a request whose session is on no version yet takes the
    endpoints of another one, as far as the roll-out allows.
    """
    allowed = _allowed_endpoints(gateway, context)
    drawn = filter_by_version(gateway, context, allowed, now_s)
    if not gateway.states.notices:
        return drawn
    unwilling = {e.key for e in allowed if not gateway.states.is_willing(e, now_s)}
    if not unwilling:
        return drawn
    willing = [e for e in drawn if e.key not in unwilling]
    if willing or _is_on_version(gateway, context, now_s):
        return willing
    others = [e for e in allowed if e.key not in unwilling]
    return filter_by_version(gateway, context, others, now_s)


def _is_on_version(gateway: Gateway, context: RequestContext, now_s: float) -> bool:
    """Return whether the request's session has been served by a version."""
    if context.session is None:
        return False
    service = context.service.name
    return gateway.sessions.get(service, context.session, now_s) is not None


def rest_left_s(
    gateway: Gateway, context: RequestContext, now_s: float
) -> float | None:
    """Return the seconds until the first endpoint's rest ends; None if one is awake."""
    allowed = _allowed_endpoints(gateway, context)
    drawn = filter_by_version(gateway, context, allowed, now_s)
    rests_s = [gateway.states.rest_left_s(endpoint, now_s) for endpoint in drawn]
    return min(rests_s, default=0.0) or None


def next_slot_in_s(
    gateway: Gateway, context: RequestContext, now_s: float
) -> float | None:
    """Return the seconds until a limited endpoint has room; None if none will."""
    states = [
        gateway.states.of(endpoint) for endpoint in _allowed_endpoints(gateway, context)
    ]
    waits_s = []
    for state in states:
        if not state.stated_limit.is_set(now_s):
            continue
        share = local_share(gateway, state, now_s)
        slot_s = state.stated_limit.next_slot_in_s(now_s, share)
        if slot_s is not None:
            rest_s = gateway.states.rest_left_s(state.endpoint, now_s)
            waits_s.append(max(slot_s, rest_s))
    return min(waits_s, default=None)


def _allowed_endpoints(gateway: Gateway, context: RequestContext) -> list[Endpoint]:
    """Return the service's endpoints that the operator's decisions allow."""
    service, zones_out = context.service.name, gateway.view.zones_out
    endpoints = [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if endpoint.service == service
        and not gateway.states.is_leaving(endpoint)
        and endpoint.availability_zone not in zones_out
    ]
    region_sets = [context.route.allowed_regions]
    if context.organisation is not None:
        region_sets.append(context.organisation.allowed_regions)
    region_of = gateway.settings.region_of_zone
    for regions in region_sets:
        if regions:
            endpoints = [
                endpoint
                for endpoint in endpoints
                if region_of.get(endpoint.availability_zone, "") in regions
            ]
    return endpoints


def _within_limits(
    gateway: Gateway, context: RequestContext, states: list[EndpointState], now_s: float
) -> list[EndpointState]:
    """Return the endpoints at which this gateway's shares of the limits have room."""
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
    """Return this gateway's share of a cold endpoint's rate; None if it is warm.

    An endpoint whose connections broke may have restarted cold before its next
    heartbeat reports it; until then it counts as cold. So does one whose zone has just
    been taken back: it has had no work, and may have become cold.
    """
    service = context.service
    if service.cold_rate_per_s <= 0:
        return None
    endpoint = state.endpoint
    is_cold = (
        endpoint.cold_until_s > now_s
        or is_suspect(state, now_s)
        or is_zone_just_back(gateway, endpoint.availability_zone, now_s)
    )
    if not is_cold:
        return None
    if not gateway.members_loaded:
        # The shares cannot be computed yet, and the peers may use theirs.
        return 0
    settings = gateway.settings
    allowed_per_s = (
        service.cold_rate_per_s * settings.cold_overage + settings.cold_extra
    )
    limit_per_s = min(
        allowed_per_s * COLD_MARGIN, service.cold_rate_per_s * MAX_COLD_RATE_FACTOR
    )
    return gateway_share(limit_per_s, endpoint.instance, settings.name, gateway.peers)


def is_zone_just_back(gateway: Gateway, zone: str, now_s: float) -> bool:
    """Return whether a zone's endpoints may be cold without their records being read.

    Their records come with the next read, while their empty queues attract every
    request at once.
    """
    back_s = gateway.view.zones_back_s.get(zone, float("-inf"))
    return now_s - back_s < ZONE_RETURN_S


def is_suspect(state: EndpointState, now_s: float) -> bool:
    """Return whether a connection broke so recently that a restart may be unknown."""
    return now_s - state.health.disconnected_s < SUSPECT_PERIOD_S
