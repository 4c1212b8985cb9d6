"""Word of a long prompt that a gateway has just sent to an endpoint."""

from attrs import frozen


@frozen
class WorkSent:
    """Told to the other gateways, which send to the same endpoint.

    ``endpoint`` is its id and ``parts`` are keys of the prompt's shared parts, as
    ``acaciacove.gateway.choice.stable_hash`` numbers them. ``work_s`` is how long the
    endpoint is expected to read.
    """

    endpoint: int
    work_s: float
    parts: tuple[int, ...]
