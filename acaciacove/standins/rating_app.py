"""The rating-service stand-in over HTTP."""

import asyncio

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from acaciacove.standins.faults import faults_endpoint
from acaciacove.standins.json_response import json_response
from acaciacove.standins.rating_state import RatingState
from acaciacove.standins.submitted_answer import SubmittedAnswer

DEFAULT_LIMIT = 1000


def build_rating_app(state: RatingState) -> Starlette:
    """Build the application; a test may change ``state`` while it runs."""

    async def answers(request: Request) -> Response:
        if state.faults.outage:
            return json_response({"error": "outage"}, 503)
        answer = SubmittedAnswer(**orjson.loads(await request.body()))
        state.submit(answer, asyncio.get_running_loop().time())
        return json_response({}, 202)

    async def ratings(request: Request) -> Response:
        if state.faults.outage:
            return json_response({"error": "outage"}, 503)
        after = int(request.query_params.get("after", "0"))
        limit = int(request.query_params.get("limit", str(DEFAULT_LIMIT)))
        now_s = asyncio.get_running_loop().time()
        return json_response({"ratings": state.ratings(after, limit, now_s)})

    return Starlette(
        routes=[
            Route("/answers", answers, methods=["POST"]),
            Route("/ratings", ratings, methods=["GET"]),
            Route("/faults", faults_endpoint(state.faults), methods=["POST"]),
        ]
    )
