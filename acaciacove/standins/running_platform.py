"""URLs and states of a deployment's running stand-ins."""

import asyncio

from attrs import frozen

from acaciacove.fleet.instance import Instance
from acaciacove.standins.deployment import Deployment
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_state import LogState
from acaciacove.standins.rating_state import RatingState
from acaciacove.standins.service_state import ServiceState
from acaciacove.standins.weight_store_state import WeightStoreState


@frozen
class RunningPlatform:
    """URLs for the settings of daemons, and states to inspect and inject faults.

    ``endpoint_urls``, ``engines`` and ``services`` are keyed by endpoint name.
    """

    deployment: Deployment
    log_url: str
    instance_list_url: str
    weight_store_url: str
    rating_url: str
    endpoint_urls: dict[str, str]
    log: LogState
    instance_list: InstanceListState
    weight_store: WeightStoreState
    rating: RatingState
    engines: dict[str, EngineState]
    services: dict[str, ServiceState]

    def list_instances(self, instances: tuple[Instance, ...]) -> None:
        """Set the content of the platform's instance list from now on."""
        now_s = asyncio.get_running_loop().time()
        self.instance_list.publish(now_s, instances)
