"""One heartbeat of an endpoint."""

from attrs import frozen


@frozen
class EndpointReport:
    """What an endpoint reports about itself; times are relative to its arrival."""

    instance: str
    incarnation: str
    service: str
    host: str
    port: int
    availability_zone: str
    version: str
    slots: int
    draining: bool
    cold_remaining_s: float
