"""Selects the endpoints that a request may be sent to."""

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

# Share of a cold endpoint's allowed rate, with the permitted overage, that is used.
COLD_MARGIN = 0.85
# A cold endpoint crashes at a rate well above its own. It can serve this multiple of
# its own rate.
COLD_STEADY = 1.2
# For this long after a connection broke, the endpoint may have restarted without its
# new record being read here: the time of a restart, of the record's transmission, and
# one interval between two reads of heartbeats.
BROKEN_DOUBT_S = 2.1


def usable_endpoints(gateway: Gateway, work: Work, now_s: float) -> list[EndpointState]:
    """Return the usable endpoints, without those already tried if possible."""
    allowed = admissible(gateway, work, _allowed(gateway, work), now_s)
    states = [gateway.states.of(endpoint) for endpoint in allowed]
    usable = _with_room(gateway, work, states, now_s)
    fresh = [s for s in usable if s.endpoint.instance not in work.tried]
    sound = [s for s in fresh or usable if not s.health.is_ejected(now_s)]
    return sound or fresh or usable


def room_in_s(gateway: Gateway, work: Work, now_s: float) -> float | None:
    """Return the seconds until a limited endpoint has room; None if none will."""
    states = [gateway.states.of(each) for each in _allowed(gateway, work)]
    waits = [
        state.limit.room_in_s(now_s, own_share(gateway, state, now_s))
        for state in states
        if state.limit.is_set(now_s)
    ]
    return min((wait_s for wait_s in waits if wait_s is not None), default=None)


def _allowed(gateway: Gateway, work: Work) -> list[Endpoint]:
    """Return the service's endpoints that the operator's decisions allow."""
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
    """Return the endpoints at which this gateway's shares of the limits have room."""
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
    """Return this gateway's share of a cold endpoint's rate; None if it is warm.

    An endpoint whose connections broke may have restarted cold before its next
    heartbeat reports it; until then it counts as cold.
    """
    service = work.service
    if service.cold_rate_per_s <= 0:
        return None
    endpoint = state.endpoint
    if endpoint.cold_until_s <= now_s and not was_just_broken(state, now_s):
        return None
    if not gateway.members_known:
        # The shares cannot be computed yet, and the peers may use theirs.
        return 0
    settings = gateway.settings
    promised = service.cold_rate_per_s * settings.cold_overage + settings.cold_extra
    limit = min(promised * COLD_MARGIN, service.cold_rate_per_s * COLD_STEADY)
    return own_part(limit, endpoint.instance, settings.name, gateway.peers)


def was_just_broken(state: EndpointState, now_s: float) -> bool:
    """Return whether a connection broke so recently that a restart may be unknown."""
    return now_s - state.health.broken_s < BROKEN_DOUBT_S
