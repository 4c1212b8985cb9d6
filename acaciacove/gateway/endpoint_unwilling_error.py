"""The failure of an attempt at an endpoint that wants no requests."""

from acaciacove.errors import AcaciacoveError


class EndpointUnwillingError(AcaciacoveError):
    """The chosen endpoint has meanwhile asked for no more requests; none was sent."""

    def __init__(self, instance: str, reason: str) -> None:
        """Keep which endpoint wants none, and why."""
        super().__init__(f"endpoint {instance} wants no requests: {reason}")
