"""What the end of an attempt says about the health of the endpoint."""

from enum import Enum, auto


class AttemptOutcome(Enum):
    """``INCONCLUSIVE`` attempts never ran, or their caller disconnected."""

    COMPLETED = auto()
    FAILED = auto()
    INCONCLUSIVE = auto()
