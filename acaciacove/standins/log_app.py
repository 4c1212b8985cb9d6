"""The log stand-in over HTTP."""

import asyncio
import base64

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from acaciacove.standins.drop import drop_connection
from acaciacove.standins.faults import Handler, consume_fault, faults_endpoint
from acaciacove.standins.json_response import json_response
from acaciacove.standins.log_state import LogState, LogStream

DEFAULT_LIMIT = 1000
MAX_WAIT_S = 60.0
RETRY_AFTER_S = "1"


def build_log_app(state: LogState) -> Starlette:
    """Build the application; a test may change ``state`` while it runs."""
    records = "/streams/{stream:path}/records"
    return Starlette(
        routes=[
            Route(records, _append(state), methods=["POST"]),
            Route(records, _read(state), methods=["GET"]),
            Route("/faults", faults_endpoint(state.faults), methods=["POST"]),
        ]
    )


def _append(state: LogState) -> Handler:
    async def append(request: Request) -> Response:
        payload = await request.body()
        await asyncio.sleep(state.faults.delay_s)
        if state.faults.outage:
            return _unavailable(state)
        if not state.admits_append(asyncio.get_running_loop().time()):
            state.refused += 1
            return json_response({"error": "rate limit"}, 429, retry_after="1")
        stream = state.stream(request.path_params["stream"])
        offset = stream.append(payload, state.faults.keep_records)
        state.appends += 1
        if consume_fault(state.faults, "lose_replies"):
            return await drop_connection(request)
        return json_response({"offset": offset}, 201)

    return append


def _read(state: LogState) -> Handler:
    async def read(request: Request) -> Response:
        query = request.query_params
        from_offset = int(query.get("from", "0"))
        limit = int(query.get("limit", str(DEFAULT_LIMIT)))
        wait_s = min(float(query.get("wait_s", "0")), MAX_WAIT_S)
        await asyncio.sleep(state.faults.delay_s)
        if state.faults.outage:
            return _unavailable(state)
        state.reads += 1
        stream = state.stream(request.path_params["stream"])
        stream.expire(state.faults.keep_records)
        if from_offset < stream.first_offset:
            return json_response({"earliest_offset": stream.first_offset}, 410)
        await _wait_for_record(request, stream, from_offset, wait_s)
        if state.faults.outage:
            return _unavailable(state)
        return json_response({"records": _documents(stream, from_offset, limit)})

    return read


async def _wait_for_record(
    request: Request, stream: LogStream, offset: int, wait_s: float
) -> None:
    """Wait for a record at ``offset``, the time-out, or the reader to disconnect."""
    disconnected = asyncio.create_task(_wait_for_disconnect(request))
    try:
        async with asyncio.timeout(wait_s):
            while stream.next_offset <= offset and not disconnected.done():
                grown = asyncio.create_task(stream.grown.wait())
                try:
                    await asyncio.wait(
                        {grown, disconnected}, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    grown.cancel()
    except TimeoutError:
        return
    finally:
        disconnected.cancel()


async def _wait_for_disconnect(request: Request) -> None:
    """Return when the reader has closed its connection."""
    while (await request.receive())["type"] != "http.disconnect":
        pass


def _documents(
    stream: LogStream, offset: int, limit: int
) -> list[dict[str, int | str]]:
    return [
        {"offset": at, "payload": base64.b64encode(payload).decode()}
        for at, payload in stream.read(offset, limit)
    ]


def _unavailable(state: LogState) -> Response:
    state.refused += 1
    return json_response({"error": "outage"}, 503, retry_after=RETRY_AFTER_S)
