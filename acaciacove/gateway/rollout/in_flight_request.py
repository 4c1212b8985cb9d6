"""A request in flight during a roll-out."""

from attrs import define


@define(eq=False)
class InFlightRequest:
    """Version, kind and endpoint of a request whose first chunk has not arrived.

    ``is_late`` is set once it has been counted as late.
    """

    is_target: bool
    kind: str
    endpoint: str
    sent_s: float
    is_late: bool = False
