"""A violation of a promise, observed in a run."""

from enum import StrEnum

from attrs import frozen


class Promise(StrEnum):
    """Promises of the gateway that a soak checks."""

    AT_MOST_ONCE = "runs at most once"
    NOT_RUN = "a refusal that says 'not run' is true"
    COMPLETE = "an answer is whole and its caller's own"
    AUTHORISED = "only for the organisation that holds the key, on a model of its route"
    IN_FORCE = "a change is in force in time"
    REVOKED = "a revoked key runs nothing"
    DRAINED = "a leaving endpoint gets no new work"
    RESTED = "an endpoint that asks for rest gets it"
    ZONE_OUT = "a zone that is out gets no new work"
    BUDGET = "repeats keep to their budget over all processes"
    CRASHING = "a request that crashes endpoints is sent on three times more at most"
    NOT_QUARANTINED = "a request that crashes nothing is not held back"
    CRASHING_PART = (
        "a prompt part that crashes endpoints is sent on three times at most"
    )
    SOUND_SERVED = "requests that share a caller with crashing ones are served"
    CONCENTRATED = "a gateway with most new connections serves what it reads"
    LIMITED = "an endpoint gets no more than it states, from all that were told"
    REFUSED = "overload control refuses what never ran, and says when to return"
    MINIMUM_SHARE = "no organisation is shut out while others are served"
    READ_ON = "a slow reader that reads on gets a whole answer or a broken-off one"
    STOPPED = "a planned stop cuts no request"
    RECOVERED = "requests are served again once all is back"
    NO_PROCESS_FAILED = "no process ends by itself or logs a fault"


@frozen
class Violation:
    """The broken promise, and the observation that shows it."""

    promise: Promise
    detail: str
