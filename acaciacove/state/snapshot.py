"""The fleet state, appended again before the records it stands for expire."""

from attrs import frozen

from acaciacove.fleet.fleet_state import FleetState


@frozen
class Snapshot:
    """``state`` is the fold of every record up to ``state.revision``."""

    state: FleetState
    instance: str = ""
