"""The model-engine stand-in over HTTP."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Any

import attrs
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from acaciacove.standins.drop import drop_connection
from acaciacove.standins.dropping_protocol import TRANSPORT
from acaciacove.standins.engine_chat import (
    CONTENT_PLACEHOLDER,
    DONE,
    GARBAGE,
    Chat,
    EngineCrashedError,
    generate,
    prepare,
)
from acaciacove.standins.engine_orders import (
    export_endpoint,
    import_endpoint,
    orders_endpoint,
)
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.faults import Handler, consume_fault, faults_endpoint
from acaciacove.standins.json_response import json_response

REQUEST_ID = "x-request-id"
EVENT_STREAM = "text/event-stream"
CLIENT_CLOSED = 499


def build_engine_app(state: EngineState) -> Starlette:
    """Build the application; a test may change ``state`` while it runs."""
    return Starlette(
        routes=[
            Route("/v1/chat/completions", _chat(state), methods=["POST"]),
            Route("/load", _load(state), methods=["GET"]),
            Route("/counters", _counters(state), methods=["GET"]),
            Route("/orders", orders_endpoint(state), methods=["POST"]),
            Route("/kv", export_endpoint(state), methods=["GET"]),
            Route("/kv", import_endpoint(state), methods=["POST"]),
            Route("/turn_cold", _turn_cold(state), methods=["POST"]),
            Route("/faults", faults_endpoint(state.faults), methods=["POST"]),
        ]
    )


def _chat(state: EngineState) -> Handler:
    async def chat(request: Request) -> Response:
        body = orjson.loads(await request.body())
        refusal = _refuse_unknown_model(state, body)
        if refusal is not None:
            return refusal
        _start(state, request, body)
        if consume_fault(state.faults, "late"):
            await asyncio.sleep(state.faults.late_s)
        if consume_fault(state.faults, "fail"):
            state.counters.failed += 1
            return json_response({"error": "failed"}, 500)
        if body.get("stream"):
            answer = _stream(state, request, body)
            headers = {REQUEST_ID: _request_id(request)}
            return StreamingResponse(answer, media_type=EVENT_STREAM, headers=headers)
        return await _answer_complete(state, request, body)

    return chat


def _refuse_unknown_model(state: EngineState, body: dict[str, Any]) -> Response | None:
    """Return a 404 response for a version that is not loaded, else None."""
    if body.get("model") in state.versions:
        return None
    state.counters.refused += 1
    return json_response({"error": f"no such model: {body.get('model')}"}, 404)


def _start(state: EngineState, request: Request, body: dict[str, Any]) -> None:
    state.counters.started += 1
    state.counters.started_by_version[body["model"]] += 1
    state.counters.started_by_request[_request_id(request)] += 1


async def _run_until_disconnect(request: Request, work: Awaitable[Any]) -> bool:
    """Run work until the caller disconnects; return whether it was completed."""
    working = asyncio.ensure_future(work)
    disconnected = asyncio.ensure_future(request.receive())
    try:
        await asyncio.wait({working, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            return False
        working.result()
        return True
    finally:
        working.cancel()
        disconnected.cancel()


async def _answer_complete(
    state: EngineState, request: Request, body: dict[str, Any]
) -> Response:
    """Answer in one JSON document."""
    chat = prepare(state, _request_id(request), body)
    if not await _run_until_disconnect(request, state.acquire_slot(_priority(body))):
        state.counters.cancelled += 1
        return Response(status_code=CLIENT_CLOSED)
    tokens: list[str] = []

    async def collect() -> None:
        async for token in generate(state, chat):
            tokens.append(token)

    try:
        if not await _run_until_disconnect(request, collect()):
            state.counters.cancelled += 1
            return Response(status_code=CLIENT_CLOSED)
    except EngineCrashedError:
        state.counters.failed += 1
        return json_response({"error": "fell over"}, 500)
    finally:
        state.release_slot()
    if consume_fault(state.faults, "garbage"):
        return Response(GARBAGE, media_type="application/json")
    if consume_fault(state.faults, "stalled"):
        await asyncio.sleep(state.faults.stall_s)
    if consume_fault(state.faults, "dropped"):
        return await drop_connection(request)
    state.counters.finished += 1
    return json_response(_document(chat, tokens), x_request_id=chat.request_id)


def _document(chat: Chat, tokens: list[str]) -> dict[str, Any]:
    finish_reason = "stop" if chat.stop_after is None else None
    message = {"role": "assistant", "content": "".join(tokens)}
    return {
        "id": chat.answer_id,
        "object": "chat.completion",
        "model": chat.version,
        "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
        "usage": chat.usage(),
    }


async def _stream(
    state: EngineState, request: Request, body: dict[str, Any]
) -> AsyncIterator[bytes]:
    """Answer token by token as server-sent events."""
    done = False
    chat = prepare(state, _request_id(request), body)
    await state.acquire_slot(_priority(body))
    try:
        before, after = _event_frame(chat)
        sent = 0
        async for token in generate(state, chat):
            if await _inject_stream_faults(state, sent):
                yield GARBAGE
            sent += 1
            yield before + orjson.dumps(token) + after
        done = True
        if chat.stop_after is None:
            state.counters.finished += 1
            yield _last_event(chat)
            yield DONE
    except EngineCrashedError:
        done = True
        state.counters.failed += 1
        request.scope[TRANSPORT].abort()
    finally:
        state.release_slot()
        if not done:
            state.counters.cancelled += 1


async def _inject_stream_faults(state: EngineState, sent: int) -> bool:
    """Inject faults at ``after_tokens``; return whether to send garbage."""
    faults = state.faults
    if sent != faults.after_tokens:
        return False
    if consume_fault(faults, "dropped"):
        raise EngineCrashedError
    if consume_fault(faults, "stalled"):
        await asyncio.sleep(faults.stall_s)
    return consume_fault(faults, "garbage")


def _event_frame(chat: Chat) -> tuple[bytes, bytes]:
    """Return the bytes before and after the text of every event."""
    event = orjson.dumps(_event(chat, {"content": CONTENT_PLACEHOLDER}, None))
    before, after = event.split(orjson.dumps(CONTENT_PLACEHOLDER))
    return b"data: " + before, after + b"\n\n"


def _last_event(chat: Chat) -> bytes:
    document = {**_event(chat, {}, "stop"), "usage": chat.usage()}
    return b"data: " + orjson.dumps(document) + b"\n\n"


def _event(
    chat: Chat, delta: dict[str, str], finish_reason: str | None
) -> dict[str, Any]:
    return {
        "id": chat.answer_id,
        "object": "chat.completion.chunk",
        "model": chat.version,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


def _load(state: EngineState) -> Handler:
    async def load(_: Request) -> Response:
        now_s = asyncio.get_running_loop().time()
        in_flight, queued = state.reported_load(now_s)
        document = {
            "in_flight": in_flight,
            "queued": queued,
            "cold": state.is_cold(now_s),
            "versions": sorted(state.versions),
            "role": state.role,
            "restarts": state.incarnation,
        }
        return json_response(document)

    return load


def _counters(state: EngineState) -> Handler:
    async def counters(_: Request) -> Response:
        return json_response(attrs.asdict(state.counters))

    return counters


def _turn_cold(state: EngineState) -> Handler:
    async def turn_cold(_: Request) -> Response:
        state.turn_cold(asyncio.get_running_loop().time())
        return json_response({})

    return turn_cold


def _priority(body: dict[str, Any]) -> int:
    return int(body.get("priority") or 0)


def _request_id(request: Request) -> str:
    return str(request.headers.get(REQUEST_ID, ""))
