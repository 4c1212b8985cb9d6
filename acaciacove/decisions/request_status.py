"""Whether a request may be sent to an endpoint."""

from enum import Enum


class RequestStatus(Enum):
    """Status of a request, derived from the crashes with it in flight.

    FREE: not suspected, may be sent. TRIAL: suspected, may be sent once as a trial.
    WAITING: suspected, and a trial is in progress. QUARANTINED: may not be sent.
    """

    FREE = "free"
    TRIAL = "trial"
    WAITING = "waiting"
    QUARANTINED = "quarantined"
