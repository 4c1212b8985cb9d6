"""What the end of an attempt says about the health of the endpoint."""

from enum import Enum, auto


class AttemptOutcome(Enum):
    """The end of an attempt as evidence on the endpoint.

    ``INCONCLUSIVE`` attempts never ran, or their caller disconnected. They say
    nothing about the endpoint.
    """

    COMPLETED = auto()
    FAILED = auto()
    INCONCLUSIVE = auto()
