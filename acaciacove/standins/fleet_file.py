"""The configuration file of ``acaciacove standins``."""

from attrs import frozen

from acaciacove.fleet.instance import Instance
from acaciacove.standins.endpoint_entry import EndpointEntry


@frozen
class FleetFile:
    """Ports of the platform's services, the endpoints, and the instance list."""

    host: str
    log_port: int
    instance_list_port: int
    rating_port: int
    weight_store_port: int
    endpoints: tuple[EndpointEntry, ...]
    instances: tuple[Instance, ...]
