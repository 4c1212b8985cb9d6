"""Whether a request may be sent to an endpoint."""

from enum import Enum


class RequestStatus(Enum):
    """What the crashes under a request let it do.

    FREE is any request's. One of TRIAL may be sent once, while nobody else tries
    it; in WAITING somebody does. QUARANTINED is not sent.
    """

    FREE = "free"
    TRIAL = "trial"
    WAITING = "waiting"
    QUARANTINED = "quarantined"
