"""One service of a route and its weight."""

from attrs import frozen


@frozen
class ServiceShare:
    """A service that receives ``weight`` parts of a route's requests."""

    service: str
    weight: float
