"""Recorded states of a roll-out."""

from enum import Enum


class RolloutState(Enum):
    """State of a roll-out; COMPLETED and ROLLED_BACK are final."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether no other state can follow."""
        return self is not RolloutState.IN_PROGRESS
