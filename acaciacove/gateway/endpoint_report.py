"""One heartbeat of an endpoint."""

from attrs import frozen


@frozen
class EndpointReport:
    """What an endpoint reports about itself; times are relative to its arrival.

    ``started_ms`` is the endpoint's start in Unix milliseconds. ``sequence`` is its own
    count of reports since then. Both are 0 if unstated.
    """

    instance: str
    started_ms: int
    service: str
    host: str
    port: int
    availability_zone: str
    version: str
    slots: int
    draining: bool
    cold_remaining_s: float
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """The identity of this run of the endpoint, empty if its start is unstated."""
        return str(self.started_ms) if self.started_ms else ""
