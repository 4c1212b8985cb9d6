"""Current load of an endpoint."""

from attrs import frozen


@frozen
class Load:
    """Current load of an endpoint, included in every answer of its sidecar.

    ``limit`` is the number of concurrent requests that the sidecar admits.
    ``queue_delay_s`` is the queue time of the last admitted request, ``service_s``
    the smoothed time to answer one request.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    cold: bool = False
    queue_delay_s: float = 0.0
    service_s: float = 0.0
