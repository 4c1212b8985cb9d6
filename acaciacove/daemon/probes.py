"""HTTP routes for the probes, metrics and status of a daemon."""

from collections.abc import Callable
from typing import Any

import orjson
from aioprometheus import Registry
from aioprometheus.renderer import render
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from acaciacove.daemon.process_lifecycle import ProcessLifecycle

JSON = "application/json"


def probe_routes(
    lifecycle: ProcessLifecycle,
    registry: Registry,
    status: Callable[[], dict[str, Any]],
) -> list[BaseRoute]:
    """Build the routes ``/live``, ``/ready``, ``/status`` and ``/metrics``."""

    async def live(_: Request) -> Response:
        return _json({"state": lifecycle.state})

    async def ready(_: Request) -> Response:
        return _json(
            {"state": lifecycle.state}, 200 if lifecycle.accepts_callers else 503
        )

    async def show_status(_: Request) -> Response:
        return _json(status())

    async def metrics(request: Request) -> Response:
        status()
        content, headers = render(registry, request.headers.getlist("accept"))
        return Response(content, headers=dict(headers))

    return [
        Route("/live", live),
        Route("/ready", ready),
        Route("/status", show_status),
        Route("/metrics", metrics),
    ]


def _json(document: dict[str, Any], status_code: int = 200) -> Response:
    return Response(orjson.dumps(document), status_code, media_type=JSON)
