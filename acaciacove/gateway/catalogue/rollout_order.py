"""An operator's order to move a service to another version."""

from attrs import frozen


@frozen
class RolloutOrder:
    """The order to move ``service`` to ``target`` within ``duration_s``.

    ``revision`` is the log offset of the order, and ``seen_s`` is when this process
    first read it.
    """

    service: str
    target: str
    duration_s: float
    revision: int
    seen_s: float
