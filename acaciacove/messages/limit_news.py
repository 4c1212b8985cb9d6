"""Gossip message on rate limits that endpoints state."""

from attrs import frozen

from acaciacove.messages.limit_seen import LimitSeen


@frozen
class LimitNews:
    """Limits, sent to a subset of the gateways.

    A receiver forwards those that change its own state.
    """

    limits: tuple[LimitSeen, ...]
