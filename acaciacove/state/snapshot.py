"""A snapshot of the fleet state, appended before the records it covers expire."""

from attrs import frozen

from acaciacove.fleet.fleet_state import FleetState


@frozen
class Snapshot:
    """``state`` is the result of folding every record up to ``state.revision``."""

    state: FleetState
    instance: str = ""
