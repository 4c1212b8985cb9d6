"""Word of limits that endpoints state."""

from attrs import frozen

from acaciacove.messages.limit_seen import LimitSeen


@frozen
class LimitNews:
    """Told to a few gateways, which pass on what changes theirs."""

    limits: tuple[LimitSeen, ...]
