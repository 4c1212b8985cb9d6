"""Cost of sending a request to an endpoint: waits, prefill, load and distance."""

from collections.abc import Callable

from acaciacove.decisions.endpoint_backlog import baseline_wait_s
from acaciacove.gateway.choice.endpoint_load import baseline_peer_requests
from acaciacove.gateway.choice.prefix_affinity import prefix_keys, uncached_tokens
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import is_suspect

# Each consecutive failure counts as this many more requests in flight.
REQUESTS_PER_FAILURE = 2.0
MS = 1000.0
TOKENS_PER_1K = 1000.0


def load_cost(
    gateway: Gateway, state: EndpointState, now_s: float
) -> tuple[float, float]:
    """Return the load cost at an endpoint in requests, and a random tie-breaker."""
    in_local_zone = (
        state.endpoint.availability_zone == gateway.settings.availability_zone
    )
    zone = 0.0 if in_local_zone else gateway.choice.other_zone_requests
    requests = state.load.estimate(now_s)
    # At a slow endpoint the requests before this one take longer, and so does this one.
    delay = (state.pace.slowness(now_s) - 1.0) * (requests + 1.0)
    load = requests + delay + _health_penalty(gateway, state, now_s)
    return (load + zone, gateway.random.random())


def _health_penalty(gateway: Gateway, state: EndpointState, now_s: float) -> float:
    """Return the number of requests that an endpoint's poor health counts for."""
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
    """Return a function for the cost of a prompt at an endpoint, in seconds.

    All gateways prefer the endpoint ``preferred`` for the prompt's shared parts.
    """
    choice = gateway.choice
    local_zone = gateway.settings.availability_zone
    baseline_load = baseline_peer_requests((state.load for state in states), now_s)
    baseline_s = baseline_wait_s((state.backlog for state in states), now_s)
    keys = prefix_keys(prompt, context.model)
    prefill = gateway.prefill_latency(context.service.name, context.model)
    displacement_s_per_token = choice.memory_ms_per_1k / MS / TOKENS_PER_1K

    def cost_s(state: EndpointState) -> float:
        expected_share = choice.home_share if state is preferred else 0.0
        tokens = uncached_tokens(state, prompt, keys, expected_share)
        slowness = state.pace.slowness(now_s)
        prefill_s = (
            choice.reading_weight * prefill.predict_s(tokens) * slowness
            + tokens * displacement_s_per_token
        )
        load = state.load.estimate(now_s, baseline_load) * slowness
        load += _health_penalty(gateway, state, now_s)
        in_local_zone = state.endpoint.availability_zone == local_zone
        zone_ms = 0.0 if in_local_zone else gateway.settings.other_zone_ms
        other_s = (zone_ms + load * choice.request_ms) / MS
        return state.backlog.wait_s(now_s, baseline_s) + prefill_s + other_s

    return cost_s
