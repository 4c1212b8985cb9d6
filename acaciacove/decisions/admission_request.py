"""What the decision on admission knows of a request."""

from attrs import frozen


@frozen
class AdmissionRequest:
    """A request that has not been sent to an endpoint yet.

    ``key`` is equal each time the caller sends this request, at every gateway.
    ``priority`` 0 is the most urgent. ``tokens`` is its work. Of the ``time_s`` that
    its route allows for the complete response, ``remaining_s`` are left.
    """

    key: int
    priority: int
    organisation: str
    route: str
    tokens: float
    remaining_s: float
    time_s: float
