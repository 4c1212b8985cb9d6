"""What is usual among the endpoints that are compared."""

from attrs import frozen


@frozen
class EndpointBaseline:
    """Requests per admitted slot, seconds of service, and slots of an endpoint."""

    load: float
    service_s: float
    limit: int
