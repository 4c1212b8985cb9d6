"""What one endpoint would have to read for a request."""

from acaciacove.gateway.choice.choice_settings import ChoiceSettings
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.stable_hash import stable_hash
from acaciacove.gateway.endpoint_state import EndpointState


def unread_tokens(
    state: EndpointState,
    prompt: Prompt,
    model: str | None,
    is_home: bool,
    settings: ChoiceSettings,
) -> float:
    """Return the tokens of a prompt that the endpoint does not hold.

    A part counts as held only when all parts before it are.
    """
    unread = 0.0
    held = True
    for part, tokens in prompt.parts[:-1]:
        held = held and state.holds(model, part)
        if not held:
            unread += tokens * (1.0 - settings.home_share if is_home else 1.0)
    if prompt.parts:
        unread += prompt.parts[-1][1]
    return unread


def home_of(key: str, model: str | None, instances: list[str]) -> str | None:
    """Return the endpoint that all gateways prefer for a shared part."""
    if not instances:
        return None
    return max(instances, key=lambda name: stable_hash(f"{key}/{model}/{name}"))
