"""How an attempt ended, as far as it tells of the endpoint."""

from enum import Enum, auto


class AttemptOutcome(Enum):
    """``INCONCLUSIVE`` attempts never ran, or their caller left: they tell nothing."""

    COMPLETED = auto()
    FAILED = auto()
    INCONCLUSIVE = auto()
