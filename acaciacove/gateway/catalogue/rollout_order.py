"""An operator's order to move a service to another version."""

from attrs import frozen


@frozen
class RolloutOrder:
    """The order to move ``service`` to ``target`` within ``duration_s``.

    ``order_id`` identifies the order at all gateways, also after the log has returned
    from a copy, when its offset is another one. ``seen_s`` is when this process first
    read it.
    """

    service: str
    target: str
    duration_s: float
    order_id: int
    seen_s: float
