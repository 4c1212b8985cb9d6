"""Chooses the endpoint for one attempt."""

from acaciacove.gateway.choice.prefix_affinity import preferred_endpoint
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.endpoint_cost import load_cost, prompt_cost
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import usable_endpoints

# Endpoints whose costs are compared for one prompt: more would take milliseconds of
# each request, and the best of so many is hardly worse than the best of all.
MAX_COMPARED = 48


def choose_endpoint(
    gateway: Gateway, context: RequestContext, now_s: float
) -> EndpointState | None:
    """Return the endpoint with the least cost, or None where none may be used."""
    states = usable_endpoints(gateway, context, now_s)
    if not states:
        return None
    prompt = context.request.hints.prompt
    if prompt is not None and context.service.model_costs:
        return _best_for_prompt(gateway, context, prompt, states, now_s)
    return min(states, key=lambda state: load_cost(gateway, state, now_s))


def _best_for_prompt(
    gateway: Gateway,
    context: RequestContext,
    prompt: Prompt,
    states: list[EndpointState],
    now_s: float,
) -> EndpointState:
    """Return the endpoint whose first piece is expected soonest, other things equal."""
    preferred = preferred_endpoint(prompt.shared_key or "", context.model, states)
    compared = _sample(gateway, states, preferred)
    return min(
        compared, key=prompt_cost(gateway, context, prompt, compared, preferred, now_s)
    )


def _sample(
    gateway: Gateway, states: list[EndpointState], preferred: EndpointState
) -> list[EndpointState]:
    """Return all endpoints of a small service, of a large one the home and a draw."""
    if len(states) <= MAX_COMPARED:
        return states
    drawn = gateway.random.sample(states, MAX_COMPARED)
    return drawn if preferred in drawn else [preferred, *drawn]
