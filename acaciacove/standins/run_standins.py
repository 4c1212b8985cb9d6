"""Serves every stand-in of a fleet file until the process is stopped."""

import asyncio
from contextlib import AsyncExitStack
from random import Random

from starlette.applications import Starlette

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.standins.endpoint_entry import EndpointEntry
from acaciacove.standins.engine_app import build_engine_app
from acaciacove.standins.engine_profile import EngineProfile
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.fleet_file import FleetFile
from acaciacove.standins.instance_list_app import build_instance_list_app
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_app import build_log_app
from acaciacove.standins.log_state import LogState
from acaciacove.standins.rating_app import build_rating_app
from acaciacove.standins.rating_state import RatingState
from acaciacove.standins.serve import serve
from acaciacove.standins.service_app import build_service_app
from acaciacove.standins.service_state import ServiceState
from acaciacove.standins.weight_store_app import build_weight_store_app
from acaciacove.standins.weight_store_state import WeightStoreState


async def run_standins(
    fleet: FleetFile, seed: int, started: asyncio.Event, stop: asyncio.Event
) -> None:
    """Serve all stand-ins, set ``started``, and stop them once ``stop`` is set.

    Raises OSError when a port is in use.
    """
    async with AsyncExitStack() as stack:
        applications, _ = standin_applications(fleet, seed)
        for port, app in applications:
            await stack.enter_async_context(serve(app, fleet.host, port))
        started.set()
        await stop.wait()


def standin_applications(
    fleet: FleetFile, seed: int
) -> tuple[list[tuple[int, Starlette]], InstanceListState]:
    """Return each stand-in with its port, and the state of the instance list."""
    listed = InstanceListState()
    listed.publish(asyncio.get_running_loop().time(), fleet.instances)
    qualities = {str(v): e.quality for e in fleet.endpoints for v in e.versions}
    ratings = RatingState(Random(seed), qualities=qualities)
    platform = [
        (fleet.log_port, build_log_app(LogState())),
        (fleet.instance_list_port, build_instance_list_app(listed)),
        (fleet.rating_port, build_rating_app(ratings)),
        (fleet.weight_store_port, build_weight_store_app(WeightStoreState())),
    ]
    endpoints = [(e.port, _endpoint_application(e)) for e in fleet.endpoints]
    return platform + endpoints, listed


def _endpoint_application(endpoint: EndpointEntry) -> Starlette:
    if endpoint.kind is ApiKind.SERVICE:
        return build_service_app(ServiceState())
    versions = {str(version) for version in endpoint.versions}
    profile = EngineProfile(token_s=endpoint.token_s)
    return build_engine_app(EngineState(versions, profile))
