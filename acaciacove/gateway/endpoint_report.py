"""One heartbeat of an endpoint."""

from attrs import frozen


@frozen
class EndpointReport:
    """What an endpoint reports about itself; times are relative to its arrival.

    ``sequence`` is the endpoint's own count of reports since its start, 0 if unstated.
    """

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
    sequence: int = 0

    @property
    def started_ms(self) -> int:
        """The start of the endpoint in Unix milliseconds, 0 if it is not stated so."""
        is_number = self.incarnation.isascii() and self.incarnation.isdigit()
        return int(self.incarnation) if is_number else 0
