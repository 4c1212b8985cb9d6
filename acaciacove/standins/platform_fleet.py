"""Runs every stand-in of one deployment in the current event loop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from starlette.applications import Starlette

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.standins.deployment import Deployment
from acaciacove.standins.endpoint_spec import EndpointSpec
from acaciacove.standins.engine_app import build_engine_app
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.instance_list_app import build_instance_list_app
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_app import build_log_app
from acaciacove.standins.log_state import LogState
from acaciacove.standins.rating_app import build_rating_app
from acaciacove.standins.rating_state import RatingState
from acaciacove.standins.running_platform import RunningPlatform
from acaciacove.standins.serve import LOOPBACK, serve_all
from acaciacove.standins.service_app import build_service_app
from acaciacove.standins.service_state import ServiceState
from acaciacove.standins.weight_store_app import build_weight_store_app
from acaciacove.standins.weight_store_state import WeightStoreState

RATING_SEED = 1


@asynccontextmanager
async def running_platform(deployment: Deployment) -> AsyncIterator[RunningPlatform]:
    """Serve the platform and all endpoints of a deployment on free ports."""
    log, instance_list = LogState(), InstanceListState()
    weight_store = WeightStoreState()
    rating = RatingState(Random(RATING_SEED), qualities=dict(deployment.qualities))
    engines, services = _endpoint_states(deployment)
    apps: list[Starlette] = [
        build_log_app(log),
        build_instance_list_app(instance_list),
        build_weight_store_app(weight_store),
        build_rating_app(rating),
        *map(build_engine_app, engines.values()),
        *map(build_service_app, services.values()),
    ]
    async with serve_all(apps) as ports:
        urls = [f"http://{LOOPBACK}:{port}" for port in ports]
        names = [*engines, *services]
        yield RunningPlatform(
            deployment=deployment,
            log_url=urls[0],
            instance_list_url=urls[1],
            weight_store_url=urls[2],
            rating_url=urls[3],
            endpoint_urls=dict(zip(names, urls[4:], strict=True)),
            log=log,
            instance_list=instance_list,
            weight_store=weight_store,
            rating=rating,
            engines=engines,
            services=services,
        )


def _endpoint_states(
    deployment: Deployment,
) -> tuple[dict[str, EngineState], dict[str, ServiceState]]:
    """Return the states of model engines and of plain services, by endpoint name."""
    engines = {
        spec.name: _engine_state(spec)
        for spec in deployment.endpoints
        if spec.kind is ApiKind.MODEL
    }
    services = {
        spec.name: ServiceState()
        for spec in deployment.endpoints
        if spec.kind is ApiKind.SERVICE
    }
    return engines, services


def _engine_state(spec: EndpointSpec) -> EngineState:
    state = EngineState({str(version) for version in spec.versions}, spec.profile)
    state.turn_cold(asyncio.get_running_loop().time())
    return state
