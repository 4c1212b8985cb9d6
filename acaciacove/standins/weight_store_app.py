"""The weight-store stand-in over HTTP."""

import asyncio

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from acaciacove.standins.drop import drop_connection
from acaciacove.standins.faults import consume_fault, faults_endpoint
from acaciacove.standins.json_response import json_response
from acaciacove.standins.weight_store_state import WeightStoreState


def build_weight_store_app(state: WeightStoreState) -> Starlette:
    """Build the application; a test may change ``state`` while it runs."""

    async def loads(request: Request) -> Response:
        weights = orjson.loads(await request.body())["weights"]
        await asyncio.sleep(state.faults.delay_s)
        if state.faults.outage:
            return json_response({"error": "outage"}, 503)
        wait_s = state.acquire(weights, asyncio.get_running_loop().time())
        if consume_fault(state.faults, "lose_replies"):
            return await drop_connection(request)
        return json_response({"wait_s": wait_s})

    return Starlette(
        routes=[
            Route("/loads", loads, methods=["POST"]),
            Route("/faults", faults_endpoint(state.faults), methods=["POST"]),
        ]
    )
