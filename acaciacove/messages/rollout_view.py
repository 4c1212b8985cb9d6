"""State of a current roll-out at one gateway."""

from attrs import frozen


@frozen
class RolloutView:
    """State of a roll-out at one gateway.

    ``revision`` is the id of the order. ``age_s`` is the time since the gateway first
    read the order, ``old_in_flight`` the number of its requests in flight at old
    versions.
    """

    service: str
    revision: int
    age_s: float
    old_in_flight: int
    judged_bad: bool
