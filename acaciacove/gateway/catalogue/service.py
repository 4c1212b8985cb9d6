"""One service of the catalogue."""

from attrs import frozen


@frozen
class Service:
    """Properties that hold for every endpoint of a service.

    ``connection_limit`` limits the connections of all callers to one endpoint. A cold
    endpoint can serve ``cold_rate_per_s`` requests per second for ``cold_start_s``; a
    rate of 0 means that the service has no cold start. ``model_costs`` holds the price
    of 1,000 generated tokens of each model.
    """

    name: str
    connection_limit: int
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0
    slots: int = 0
    model_costs: dict[str, float] = {}
