"""The instance-list stand-in over HTTP."""

import asyncio

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from acaciacove.adapters.instance_codec import instance_to_document
from acaciacove.standins.faults import faults_endpoint
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.json_response import json_response


def build_instance_list_app(state: InstanceListState) -> Starlette:
    """Build the application; a test may change ``state`` while it runs."""

    async def instances(_: Request) -> Response:
        if state.faults.outage:
            return json_response({"error": "outage"}, 503)
        state.fetches += 1
        listed = state.listed(asyncio.get_running_loop().time())
        return json_response({"instances": [instance_to_document(i) for i in listed]})

    return Starlette(
        routes=[
            Route("/instances", instances, methods=["GET"]),
            Route("/faults", faults_endpoint(state.faults), methods=["POST"]),
        ]
    )
