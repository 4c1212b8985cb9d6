"""A request on its way while a roll-out is judged."""

from attrs import define


@define(eq=False)
class InFlightRequest:
    """Its version, kind and endpoint, and since when its first piece is awaited.

    ``is_late`` is set once it has been counted as late.
    """

    is_target: bool
    kind: str
    endpoint: str
    sent_s: float
    is_late: bool = False
