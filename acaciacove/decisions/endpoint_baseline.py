"""Averages over the endpoints that are compared."""

from attrs import frozen


@frozen
class EndpointBaseline:
    """Requests per slot, service time in seconds, and slots of an endpoint."""

    load: float
    service_s: float
    limit: int
