"""Gossip message on a long prompt that a gateway has just sent to an endpoint."""

from attrs import frozen


@frozen
class WorkSent:
    """Long prompt, reported to the other gateways that use the same endpoint.

    ``endpoint`` is the endpoint's id. ``parts`` are keys of the prompt's shared
    parts, computed by ``acaciacove.gateway.choice.stable_hash``. ``work_s`` is the
    expected time for which the endpoint processes the prompt.
    """

    endpoint: int
    work_s: float
    parts: tuple[int, ...]
