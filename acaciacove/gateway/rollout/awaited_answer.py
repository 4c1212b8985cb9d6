"""A request in flight during a roll-out."""

from attrs import define


@define(eq=False)
class AwaitedAnswer:
    """Version, kind and endpoint of a request whose first chunk has not arrived.

    ``is_late`` is set once it has been counted as late.
    """

    is_target: bool
    kind: str
    endpoint: str
    since_s: float
    is_late: bool = False
