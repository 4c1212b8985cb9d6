"""Chooses the endpoint for one attempt."""

from collections.abc import Callable

from acaciacove.decisions.endpoint_backlog import usual_wait_s
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.cold_limiter import own_part
from acaciacove.gateway.choice.endpoint_load import usual_others
from acaciacove.gateway.choice.weigh_endpoint import home_of, shared_keys, unread_tokens
from acaciacove.gateway.choose_version import admissible
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.work import Work

# Of what a cold endpoint is promised to bear with the allowed overage, the share
# that is planned with.
COLD_MARGIN = 0.85
# How long after a connection broke an endpoint may have started again without its
# new record being read here: a restart, the record's way, and one pause between
# two reads of heartbeats.
BROKEN_DOUBT_S = 2.1
# The share of an endpoint's connections that one gateway may take for itself.
CONNECTION_MARGIN = 0.8
# What each failure in a row counts for beside requests under way.
FAILURE_REQUESTS = 2.0
# A cold endpoint dies of a rate well above its own; this much above is borne.
COLD_STEADY = 1.2
MS = 1000.0
TOKENS_PER_1K = 1000.0


def choose_endpoint(gateway: Gateway, work: Work, now_s: float) -> EndpointState | None:
    """Return the endpoint with the least cost, or None where none may be used."""
    states = _candidates(gateway, work, now_s)
    if not states:
        return None
    if work.request.hints.prompt is not None and work.service.model_costs:
        return _best_for_prompt(gateway, work, states, now_s)
    return min(states, key=lambda state: _plain_cost(gateway, state, now_s))


def _candidates(gateway: Gateway, work: Work, now_s: float) -> list[EndpointState]:
    """List endpoints that may be used, without those already tried if possible."""
    allowed = [
        endpoint
        for endpoint in gateway.beliefs.endpoints.values()
        if endpoint.service == work.service.name and is_allowed(gateway, work, endpoint)
    ]
    allowed = admissible(gateway, work, allowed, now_s)
    states = [gateway.states.of(endpoint) for endpoint in allowed]
    usable = [s for s in states if _has_room(gateway, work, s, now_s)]
    fresh = [s for s in usable if s.endpoint.instance not in work.tried]
    sound = [s for s in fresh or usable if not s.health.is_ejected(now_s)]
    return sound or fresh or usable


def is_allowed(gateway: Gateway, work: Work, endpoint: Endpoint) -> bool:
    """Tell whether operator's decisions and the endpoint's state allow it."""
    if endpoint.leaving or endpoint.availability_zone in gateway.beliefs.zones_out:
        return False
    homes = [work.route.allowed_regions]
    if work.organisation is not None:
        homes.append(work.organisation.allowed_regions)
    region = gateway.settings.region_of_zone.get(endpoint.availability_zone, "")
    return all(not home or region in home for home in homes)


def _has_room(gateway: Gateway, work: Work, state: EndpointState, now_s: float) -> bool:
    limit = work.service.connection_limit
    if limit:
        own = max(2.0, CONNECTION_MARGIN * limit / gateway.gateway_count)
        if state.load.in_flight + 1 > own:
            return False
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
    is_cold = endpoint.cold_until_s > now_s
    may_be_cold = now_s - state.health.broken_s < BROKEN_DOUBT_S
    if not is_cold and not may_be_cold:
        return None
    if not gateway.members_known:
        # Whose part is how large cannot be worked out yet; others may send theirs.
        return 0
    settings = gateway.settings
    promised = service.cold_rate_per_s * settings.cold_overage + settings.cold_extra
    limit = min(promised * COLD_MARGIN, service.cold_rate_per_s * COLD_STEADY)
    return own_part(limit, endpoint.instance, settings.name, gateway.peers)


def _suspicion(gateway: Gateway, state: EndpointState, now_s: float) -> float:
    """Return how many requests an endpoint's doubtful health counts for."""
    is_broken = now_s - state.health.broken_s < BROKEN_DOUBT_S
    failures = FAILURE_REQUESTS * state.health.failures_in_a_row
    return gateway.choice.suspect_requests * is_broken + failures


def _plain_cost(
    gateway: Gateway, state: EndpointState, now_s: float
) -> tuple[float, float]:
    is_near = state.endpoint.availability_zone == gateway.settings.availability_zone
    zone = 0.0 if is_near else gateway.choice.other_zone_requests
    load = state.load.estimate(now_s) + _suspicion(gateway, state, now_s)
    return (load + zone, gateway.random.random())


def _best_for_prompt(
    gateway: Gateway, work: Work, states: list[EndpointState], now_s: float
) -> EndpointState:
    """Return the endpoint whose first piece is expected soonest, other things equal."""
    choice = gateway.choice
    usual = usual_others((state.load for state in states), now_s)
    wait_s = usual_wait_s((state.backlog for state in states), now_s)
    reading_cost_s = reading_costs(gateway, work, states)

    def cost_s(state: EndpointState) -> float:
        near = state.endpoint.availability_zone == gateway.settings.availability_zone
        load = state.load.estimate(now_s, usual) + _suspicion(gateway, state, now_s)
        reading_s = reading_cost_s(state)
        zone_ms = 0.0 if near else choice.other_zone_ms
        return (
            state.backlog.wait_s(now_s, wait_s)
            + reading_s
            + (zone_ms + load * choice.request_ms) / MS
        )

    return min(states, key=cost_s)


def reading_costs(
    gateway: Gateway, work: Work, states: list[EndpointState]
) -> Callable[[EndpointState], float]:
    """Return what reading the prompt costs at an endpoint, without a queue."""
    prompt = work.request.hints.prompt
    if prompt is None:
        return lambda state: 0.0
    choice = gateway.choice
    keys = shared_keys(prompt, work.model)
    pace = gateway.reading_pace(work.service.name, work.model)
    instances = [s.endpoint.instance for s in states]
    home = home_of(prompt.shared_key or "", work.model, instances)

    def cost_s(state: EndpointState) -> float:
        is_home = state.endpoint.instance == home
        home_share = choice.home_share if is_home else 0.0
        tokens = unread_tokens(state, prompt, keys, home_share)
        memory_s = tokens * choice.memory_ms_per_1k / MS / TOKENS_PER_1K
        return choice.reading_weight * pace.predict_s(tokens) + memory_s

    return cost_s
