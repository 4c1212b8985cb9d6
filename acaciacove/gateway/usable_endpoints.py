"""Which endpoints may be sent a request at all."""

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.cold_limiter import own_part
from acaciacove.gateway.choose_version import admissible
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.keep_limit import (
    may_send,
    own_share,
    with_free_connections,
)
from acaciacove.gateway.work import Work

# Of what a cold endpoint is promised to bear with the allowed overage, the share
# that is planned with.
COLD_MARGIN = 0.85
# A cold endpoint dies of a rate well above its own; this much above is borne.
COLD_STEADY = 1.2
# How long after a connection broke an endpoint may have started again without its
# new record being read here: a restart, the record's way, and one pause between
# two reads of heartbeats.
BROKEN_DOUBT_S = 2.1


def usable_endpoints(gateway: Gateway, work: Work, now_s: float) -> list[EndpointState]:
    """List endpoints that may be used, without those already tried if possible."""
    allowed = admissible(gateway, work, _allowed(gateway, work), now_s)
    states = [gateway.states.of(endpoint) for endpoint in allowed]
    usable = _with_room(gateway, work, states, now_s)
    fresh = [s for s in usable if s.endpoint.instance not in work.tried]
    sound = [s for s in fresh or usable if not s.health.is_ejected(now_s)]
    return sound or fresh or usable


def room_in_s(gateway: Gateway, work: Work, now_s: float) -> float | None:
    """Return when a limited endpoint takes one more from here; None if none does."""
    states = [gateway.states.of(each) for each in _allowed(gateway, work)]
    waits = [
        state.limit.room_in_s(now_s, own_share(gateway, state, now_s))
        for state in states
        if state.limit.is_set(now_s)
    ]
    return min((wait_s for wait_s in waits if wait_s is not None), default=None)


def _allowed(gateway: Gateway, work: Work) -> list[Endpoint]:
    """List the service's endpoints that the operator's decisions allow."""
    service, zones_out = work.service.name, gateway.beliefs.zones_out
    endpoints = [
        endpoint
        for endpoint in gateway.beliefs.endpoints.values()
        if endpoint.service == service
        and not endpoint.leaving
        and endpoint.availability_zone not in zones_out
    ]
    homes = [work.route.allowed_regions]
    if work.organisation is not None:
        homes.append(work.organisation.allowed_regions)
    region_of = gateway.settings.region_of_zone
    for home in homes:
        if home:
            endpoints = [
                endpoint
                for endpoint in endpoints
                if region_of.get(endpoint.availability_zone, "") in home
            ]
    return endpoints


def _with_room(
    gateway: Gateway, work: Work, states: list[EndpointState], now_s: float
) -> list[EndpointState]:
    """Leave endpoints to which this gateway's parts of the limits let it send."""
    if work.service.connection_limit:
        states = with_free_connections(gateway, work.service.connection_limit, states)
    states = [
        state
        for state in states
        if state.limit.per_s is None or may_send(gateway, state, now_s)
    ]
    if work.service.cold_rate_per_s <= 0:
        return states
    return [state for state in states if _bears_more(gateway, work, state, now_s)]


def _bears_more(
    gateway: Gateway, work: Work, state: EndpointState, now_s: float
) -> bool:
    part = cold_part(gateway, work, state, now_s)
    return part is None or state.cold.allows(now_s, part)


def cold_part(
    gateway: Gateway, work: Work, state: EndpointState, now_s: float
) -> int | None:
    """Return the requests a second for a cold endpoint; None when it is warm.

    An endpoint whose connections broke may have started again, cold, before its
    next heartbeat says so; until then it counts as cold.
    """
    service = work.service
    if service.cold_rate_per_s <= 0:
        return None
    endpoint = state.endpoint
    if endpoint.cold_until_s <= now_s and not was_just_broken(state, now_s):
        return None
    if not gateway.members_known:
        # Whose part is how large cannot be worked out yet; others may send theirs.
        return 0
    settings = gateway.settings
    promised = service.cold_rate_per_s * settings.cold_overage + settings.cold_extra
    limit = min(promised * COLD_MARGIN, service.cold_rate_per_s * COLD_STEADY)
    return own_part(limit, endpoint.instance, settings.name, gateway.peers)


def was_just_broken(state: EndpointState, now_s: float) -> bool:
    """Tell whether a connection broke so lately that a restart may not be known."""
    return now_s - state.health.broken_s < BROKEN_DOUBT_S
