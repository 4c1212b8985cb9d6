"""The HTTP application for callers."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from acaciacove.entry import header_names
from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_response import AnswerResponse
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.cancel_on_disconnect import cancel_on_disconnect
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.problem import problem_document, problem_response
from acaciacove.entry.read_request import CHAT_PATH, read_request
from acaciacove.refusal import Refusal

EVENT_STREAM = "text/event-stream"
OK = 200
DONE_EVENT = b"data: [DONE]\n\n"
SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]

AnswerSource = Callable[[CallerRequest], AsyncGenerator[AnswerEvent, None]]


def build_entry_app(
    entry: EntryState, answer: AnswerSource, probes: list[BaseRoute]
) -> Starlette:
    """Build the application; ``answer`` yields the events of an answer."""

    async def serve(request: Request) -> Response:
        request_id = entry.new_request_id()
        with entry.counted_in_flight():
            parsed = await read_request(request, entry, request_id)
            if isinstance(parsed, Refusal):
                entry.metrics.count_refusal(parsed)
                return problem_response(parsed, request_id)
            if parsed.stream:
                return await _streamed_response(entry, parsed, answer(parsed))
            response = _buffered_response(entry, parsed, answer(parsed))
            if parsed.non_idempotent:
                return await response
            return await cancel_on_disconnect(request, response)

    return Starlette(
        routes=[
            Route(CHAT_PATH, serve, methods=["POST"]),
            Route("/services/{api}/{path:path}", serve, methods=SERVICE_METHODS),
            *probes,
        ]
    )


async def _buffered_response(
    entry: EntryState,
    request: CallerRequest,
    events: AsyncGenerator[AnswerEvent, None],
) -> Response:
    """Collect the answer into one body, or respond with a problem document."""
    chunks: list[bytes] = []
    head: AnswerHead | None = None
    async with aclosing(events):
        async for event in events:
            match event:
                case AnswerHead():
                    head = event
                case AnswerChunk():
                    chunks.append(event.data)
                case AnswerEnd() if head is not None:
                    headers = _response_headers(entry, request, head)
                    headers[header_names.COST] = f"{event.cost:.6f}"
                    return Response(b"".join(chunks), head.status, headers)
                case Refusal():
                    return problem_response(event, request.request_id)
    raise AssertionError("answer events ended without AnswerEnd or Refusal")


async def _streamed_response(
    entry: EntryState,
    request: CallerRequest,
    events: AsyncGenerator[AnswerEvent, None],
) -> Response:
    """Relay server-sent events as they arrive; a failure ends them with an error."""
    first = await anext(events)
    if isinstance(first, Refusal):
        return problem_response(first, request.request_id)
    assert isinstance(first, AnswerHead)
    headers = _response_headers(entry, request, first)
    if first.status != OK:
        return await _buffered_response(entry, request, _prepend(first, events))
    headers["cache-control"] = "no-store"
    body = _stream_body(entry, request.request_id, events)
    return AnswerResponse(body, first.status, headers, media_type=EVENT_STREAM)


async def _prepend(
    first: AnswerHead, events: AsyncGenerator[AnswerEvent, None]
) -> AsyncGenerator[AnswerEvent, None]:
    """Yield ``first``, then the remaining events."""
    yield first
    async with aclosing(events):
        async for event in events:
            yield event


async def _stream_body(
    entry: EntryState,
    request_id: str,
    events: AsyncGenerator[AnswerEvent, None],
) -> AsyncIterator[bytes]:
    """Yield the body of a streamed response."""
    with entry.counted_in_flight():
        async with aclosing(events):
            async for event in events:
                match event:
                    case AnswerChunk():
                        yield event.data
                    case AnswerEnd():
                        yield DONE_EVENT
                    case Refusal():
                        yield _error_event(event, request_id)


def _response_headers(
    entry: EntryState, request: CallerRequest, head: AnswerHead
) -> dict[str, str]:
    """Return the answer's headers, with request id, version and endpoint added."""
    headers = {header.name.lower(): header.value for header in head.headers}
    headers[header_names.REQUEST_ID] = request.request_id
    headers[header_names.VERSION] = str(head.version)
    headers[header_names.ENDPOINT] = head.endpoint
    if request.session:
        headers[header_names.SESSION_TOKEN] = entry.pins.issue(
            request.organisation.name, request.api.name, request.session, head.version
        )
    return headers


def _error_event(refusal: Refusal, request_id: str) -> bytes:
    """Encode the error event that ends a started stream.

    Without it the caller could not tell a truncated stream from a complete one.
    """
    document = {"error": problem_document(refusal, request_id)}
    return b"event: error\ndata: " + orjson.dumps(document) + b"\n\n"
