"""What sending a request to an endpoint costs, by waits, reading and distance."""

from collections.abc import Callable

from acaciacove.decisions.endpoint_backlog import baseline_wait_s
from acaciacove.gateway.choice.endpoint_load import baseline_peer_requests
from acaciacove.gateway.choice.prefix_affinity import prefix_keys, uncached_tokens
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import is_suspect

# What each failure in a row counts for beside requests under way.
REQUESTS_PER_FAILURE = 2.0
MS = 1000.0
TOKENS_PER_1K = 1000.0


def load_cost(
    gateway: Gateway, state: EndpointState, now_s: float
) -> tuple[float, float]:
    """Return the cost at a plain service, in requests, with a draw to settle ties."""
    is_near = state.endpoint.availability_zone == gateway.settings.availability_zone
    zone = 0.0 if is_near else gateway.choice.other_zone_requests
    load = state.load.estimate(now_s) + _health_penalty(gateway, state, now_s)
    return (load + zone, gateway.random.random())


def _health_penalty(gateway: Gateway, state: EndpointState, now_s: float) -> float:
    """Return how many requests an endpoint's doubtful health counts for."""
    failures = REQUESTS_PER_FAILURE * state.health.consecutive_failures
    if is_suspect(state, now_s):
        return gateway.choice.suspect_requests + failures
    return failures


def prompt_cost(
    gateway: Gateway,
    context: RequestContext,
    prompt: Prompt,
    states: list[EndpointState],
    preferred: EndpointState,
    now_s: float,
) -> Callable[[EndpointState], float]:
    """Return what a prompt costs at an endpoint, in seconds of waiting.

    ``preferred`` is the endpoint that all gateways prefer for the prompt's shared
    parts.
    """
    choice = gateway.choice
    own_zone = gateway.settings.availability_zone
    baseline_load = baseline_peer_requests((state.load for state in states), now_s)
    baseline_s = baseline_wait_s((state.backlog for state in states), now_s)
    keys = prefix_keys(prompt, context.model)
    pace = gateway.prefill_latency(context.service.name, context.model)
    memory_s = choice.memory_ms_per_1k / MS / TOKENS_PER_1K

    def cost_s(state: EndpointState) -> float:
        home_share = choice.home_share if state is preferred else 0.0
        tokens = uncached_tokens(state, prompt, keys, home_share)
        reading_s = choice.reading_weight * pace.predict_s(tokens) + tokens * memory_s
        load = state.load.estimate(now_s, baseline_load)
        load += _health_penalty(gateway, state, now_s)
        is_near = state.endpoint.availability_zone == own_zone
        zone_ms = 0.0 if is_near else choice.other_zone_ms
        other_s = (zone_ms + load * choice.request_ms) / MS
        return state.backlog.wait_s(now_s, baseline_s) + reading_s + other_s

    return cost_s
