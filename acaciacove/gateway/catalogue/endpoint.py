"""One endpoint as it registered itself."""

from attrs import frozen


@frozen
class Endpoint:
    """A running instance of a service.

    ``incarnation`` names one life of the endpoint: a restart, also under the
    same ``instance``, is another one. ``cold_until_s`` is on the runtime's clock.
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
    cold_until_s: float

    @property
    def key(self) -> tuple[str, str]:
        """The identity of this life of the endpoint."""
        return (self.instance, self.incarnation)
