"""The recorded state of a roll-out."""

from attrs import frozen

from acaciacove.gateway.rollout.rollout_state import RolloutState


@frozen
class RolloutStatus:
    """A service's roll-out as recorded in the log; ``revision`` is its offset."""

    service: str
    target: str
    state: RolloutState
    revision: int
