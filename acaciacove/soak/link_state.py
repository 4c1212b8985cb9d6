"""What a proxy does to the bytes of its connections."""

from attrs import define


@define(eq=False)
class LinkState:
    """Faults of one link; ``up`` is towards the server.

    ``delay_s`` holds back each piece. ``up_silent`` and ``down_silent`` swallow bytes
    of one direction without closing anything.
    """

    delay_s: float = 0.0
    up_silent: bool = False
    down_silent: bool = False
