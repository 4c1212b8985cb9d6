"""State of one service in a gateway's status report."""

from attrs import frozen

from acaciacove.gateway.endpoint_status import EndpointStatus


@frozen
class ServiceStatus:
    """Demand, capacity and refusals of a service at one gateway.

    ``requests_per_s`` counts requests of callers, refused ones included, and
    ``attempts_per_s`` those sent to endpoints. ``endpoint_states`` counts endpoints by
    condition. ``wait_s`` is the lowest estimated wait among usable endpoints, None if
    none is usable. ``admission_level`` is None while nothing sets it. ``refusals``
    counts refusals by reason since the start of the gateway.
    """

    name: str
    requests_per_s: float
    attempts_per_s: float
    endpoint_states: dict[str, int]
    refusals: dict[str, int]
    endpoints: tuple[EndpointStatus, ...]
    wait_s: float | None = None
    admission_level: float | None = None
