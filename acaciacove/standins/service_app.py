"""The plain-service stand-in (bookings, payments) over HTTP."""

import asyncio
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from acaciacove.standins.drop import drop_connection
from acaciacove.standins.faults import Handler, consume_fault, faults_endpoint
from acaciacove.standins.json_response import json_response
from acaciacove.standins.service_state import ServiceState

READING_METHODS = ["GET", "HEAD"]
CALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
REFERENCE = "reference"
FOREIGN_ID = "request-of-someone-else"


def build_service_app(state: ServiceState) -> Starlette:
    """Build the application; a test may change ``state`` while it runs."""
    return Starlette(
        routes=[
            Route("/effects", _effects(state), methods=["GET"]),
            Route("/faults", faults_endpoint(state.faults), methods=["POST"]),
            Route("/{path:path}", _call(state), methods=CALL_METHODS),
        ]
    )


def _effects(state: ServiceState) -> Handler:
    async def effects(_: Request) -> Response:
        document = {
            "effects": state.effects,
            "by_key": dict(state.effects_by_key),
            "by_reference": dict(state.effects_by_reference),
        }
        return json_response(document)

    return effects


def _call(state: ServiceState) -> Handler:
    async def call(request: Request) -> Response:
        faults = state.faults
        state.calls += 1
        reference = _reference(await request.body())
        await asyncio.sleep(faults.delay_s)
        answer_id = _echoed_id(request)
        if consume_fault(faults, "foreign_id"):
            answer_id = FOREIGN_ID
        if consume_fault(faults, "drop_before_effect"):
            return await drop_connection(request)
        if consume_fault(faults, "fail"):
            return json_response({"error": "failed"}, 500, x_request_id=answer_id)
        if request.method in READING_METHODS:
            document = {"path": request.url.path, "effects": state.effects}
            return json_response(document, x_request_id=answer_id)
        key = request.headers.get("idempotency-key", "")
        effect = state.record_effect(key, reference)
        if consume_fault(faults, "drop_after_effect"):
            return await drop_connection(request)
        if consume_fault(faults, "hang_after_effect"):
            await asyncio.sleep(faults.hang_s)
        document = {"effect": effect, REFERENCE: reference}
        return json_response(document, x_request_id=answer_id)

    return call


def _echoed_id(request: Request) -> str:
    return str(request.headers.get("x-request-id", ""))


def _reference(body: bytes) -> str:
    """Return the reference in the body, or an empty string if there is none."""
    try:
        document: Any = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    if not isinstance(document, dict):
        return ""
    return str(document.get(REFERENCE, ""))
