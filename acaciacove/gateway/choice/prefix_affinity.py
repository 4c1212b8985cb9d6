"""What one endpoint would have to read for a request."""

from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.stable_hash import mix_bits, part_key, stable_hash
from acaciacove.gateway.endpoint_state import EndpointState


def prefix_keys(prompt: Prompt, model: str | None) -> tuple[int, ...]:
    """Return the keys of a prompt's shared parts, as a model reads them."""
    return tuple(part_key(model, part) for part, _ in prompt.parts[:-1])


def uncached_tokens(
    state: EndpointState, prompt: Prompt, keys: tuple[int, ...], home_share: float
) -> float:
    """Return the tokens of a prompt that the endpoint does not hold.

    A part counts as held only when all parts before it are. Of parts that are not
    known to be held, ``home_share`` is expected to be.
    """
    unread = 0.0
    held = True
    for key, (_, tokens) in zip(keys, prompt.parts, strict=False):
        held = held and state.is_cached(key)
        if not held:
            unread += tokens * (1.0 - home_share)
    if prompt.parts:
        unread += prompt.parts[-1][1]
    return unread


def preferred_endpoint(
    key: str, model: str | None, states: list[EndpointState]
) -> EndpointState:
    """Return the endpoint that all gateways prefer for a shared part.

    Rendezvous hashing: ``states`` may come in any order, and must not be empty.
    """
    number = int.from_bytes(stable_hash(f"{key}/{model}"))
    return max(states, key=lambda state: mix_bits(state.instance_hash ^ number))
