"""Faults that a proxy applies to the bytes of its connections."""

from attrs import define


@define(eq=False)
class LinkState:
    """Faults of one link. ``up`` is the direction towards the server.

    ``delay_s`` delays each chunk. ``up_silent`` and ``down_silent`` discard the bytes
    of one direction and leave the connections open.
    """

    delay_s: float = 0.0
    up_silent: bool = False
    down_silent: bool = False
