"""Cost of sending a request to an endpoint: waits, prefill, load and distance."""

from collections.abc import Callable

from acaciacove.decisions.endpoint_backlog import usual_wait_s
from acaciacove.gateway.choice.endpoint_load import usual_others
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.weigh_endpoint import shared_keys, unread_tokens
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.usable_endpoints import was_just_broken
from acaciacove.gateway.work import Work

# Each consecutive failure counts as this many more requests in flight.
FAILURE_REQUESTS = 2.0
MS = 1000.0
TOKENS_PER_1K = 1000.0


def plain_cost(
    gateway: Gateway, state: EndpointState, now_s: float
) -> tuple[float, float]:
    """Return the load cost at an endpoint in requests, and a random tie-breaker."""
    is_near = state.endpoint.availability_zone == gateway.settings.availability_zone
    zone = 0.0 if is_near else gateway.choice.other_zone_requests
    load = state.load.estimate(now_s) + _suspicion(gateway, state, now_s)
    return (load + zone, gateway.random.random())


def _suspicion(gateway: Gateway, state: EndpointState, now_s: float) -> float:
    """Return the number of requests that an endpoint's poor health counts for."""
    failures = FAILURE_REQUESTS * state.health.failures_in_a_row
    if was_just_broken(state, now_s):
        return gateway.choice.suspect_requests + failures
    return failures


def prompt_costs(
    gateway: Gateway,
    work: Work,
    prompt: Prompt,
    states: list[EndpointState],
    home: EndpointState,
    now_s: float,
) -> Callable[[EndpointState], float]:
    """Return a function for the cost of a prompt at an endpoint, in seconds.

    All gateways prefer the endpoint ``preferred`` for the prompt's shared parts.
    """
    choice = gateway.choice
    own_zone = gateway.settings.availability_zone
    usual_load = usual_others((state.load for state in states), now_s)
    usual_s = usual_wait_s((state.backlog for state in states), now_s)
    keys = shared_keys(prompt, work.model)
    pace = gateway.reading_pace(work.service.name, work.model)
    memory_s = choice.memory_ms_per_1k / MS / TOKENS_PER_1K

    def cost_s(state: EndpointState) -> float:
        home_share = choice.home_share if state is home else 0.0
        tokens = unread_tokens(state, prompt, keys, home_share)
        reading_s = choice.reading_weight * pace.predict_s(tokens) + tokens * memory_s
        load = state.load.estimate(now_s, usual_load)
        load += _suspicion(gateway, state, now_s)
        is_near = state.endpoint.availability_zone == own_zone
        zone_ms = 0.0 if is_near else choice.other_zone_ms
        other_s = (zone_ms + load * choice.request_ms) / MS
        return state.backlog.wait_s(now_s, usual_s) + reading_s + other_s

    return cost_s
