"""Chooses the endpoint for one attempt."""

from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.weigh_endpoint import home_of
from acaciacove.gateway.endpoint_cost import plain_cost, prompt_costs
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.usable_endpoints import usable_endpoints
from acaciacove.gateway.work import Work

# Bound on the endpoints whose costs are compared for one prompt. Comparing more takes
# milliseconds per request, and the best of a sample this large is hardly worse than the
# best of all.
MOST_COMPARED = 48


def choose_endpoint(gateway: Gateway, work: Work, now_s: float) -> EndpointState | None:
    """Return the endpoint of the lowest cost, or None where none may be used."""
    states = usable_endpoints(gateway, work, now_s)
    if not states:
        return None
    prompt = work.request.hints.prompt
    if prompt is not None and work.service.model_costs:
        return _best_for_prompt(gateway, work, prompt, states, now_s)
    return min(states, key=lambda state: plain_cost(gateway, state, now_s))


def _best_for_prompt(
    gateway: Gateway,
    work: Work,
    prompt: Prompt,
    states: list[EndpointState],
    now_s: float,
) -> EndpointState:
    """Return the endpoint with the lowest prompt cost among those compared."""
    home = home_of(prompt.shared_key or "", work.model, states)
    compared = _compared(gateway, states, home)
    return min(compared, key=prompt_costs(gateway, work, prompt, compared, home, now_s))


def _compared(
    gateway: Gateway, states: list[EndpointState], home: EndpointState
) -> list[EndpointState]:
    """Return all endpoints of a small service, else a sample with the preferred one."""
    if len(states) <= MOST_COMPARED:
        return states
    drawn = gateway.random.sample(states, MOST_COMPARED)
    return drawn if home in drawn else [home, *drawn]
