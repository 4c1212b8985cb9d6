"""One heartbeat of an endpoint."""

from attrs import frozen


@frozen
class EndpointReport:
    """What an endpoint reports about itself; times are relative to its arrival."""

    instance: str
    generation: str
    service: str
    host: str
    port: int
    availability_zone: str
    version: str
    slots: int
    leaving: bool
    cold_remaining_s: float
