"""Prefix-cache affinity between prompts and endpoints."""

from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.stable_hash import mix_bits, part_key, stable_hash
from acaciacove.gateway.endpoint_state import EndpointState


def prefix_keys(prompt: Prompt, model: str | None) -> tuple[int, ...]:
    """Return the keys of a prompt's shared parts for a model."""
    return tuple(part_key(model, part) for part, _ in prompt.parts[:-1])


def uncached_tokens(
    state: EndpointState, prompt: Prompt, keys: tuple[int, ...], expected_share: float
) -> float:
    """Return the tokens of a prompt that are not in the endpoint's cache.

    A part counts as cached only if all parts before it are. Of a part that is not known
    to be cached, the share ``expected_share`` is expected to be.
    """
    uncached = 0.0
    cached = True
    for key, (_, tokens) in zip(keys, prompt.parts, strict=False):
        cached = cached and state.is_cached(key)
        if not cached:
            uncached += tokens * (1.0 - expected_share)
    if prompt.parts:
        uncached += prompt.parts[-1][1]
    return uncached


def preferred_endpoint(
    key: str, model: str | None, states: list[EndpointState]
) -> EndpointState:
    """Return the endpoint that all gateways prefer for a shared part.

    Rendezvous hashing: the order of ``states`` does not matter; it must not be empty.
    """
    prefix_hash = int.from_bytes(stable_hash(f"{key}/{model}"))
    return max(states, key=lambda state: mix_bits(state.instance_hash ^ prefix_hash))
