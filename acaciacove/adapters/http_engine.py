"""A model engine over HTTP with the chat completions API."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

import orjson
from attrs import frozen

from acaciacove.adapters.completion import build_finish, read_completion
from acaciacove.adapters.engine_call import EngineCall
from acaciacove.adapters.engine_chunk import EngineChunk
from acaciacove.adapters.engine_event import EngineEvent
from acaciacove.adapters.engine_head import EngineHead
from acaciacove.adapters.engine_load import EngineLoad
from acaciacove.adapters.engine_order import EngineOrder
from acaciacove.adapters.http_connection import Sending
from acaciacove.adapters.http_exchange import (
    EXCHANGE_ERRORS,
    body_chunks,
    end_to_end_headers,
    open_exchange,
    read_body,
    refusal_from_error,
)
from acaciacove.adapters.http_json import call_json
from acaciacove.adapters.sse_events import BLANK_LINE, SseSplitter, event_data
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

CHAT_PATH = "/v1/chat/completions"
REQUEST_ID = "X-Request-Id"
DONE = b"[DONE]"
HTTP_OK = 200
MIN_CLIENT_ERROR = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR = 500
MAX_ANSWER_BYTES = 8_000_000


@frozen
class HttpEngine:
    """An Engine at ``url``; ``client`` comes from ``open_client``."""

    url: str
    client: Any

    async def generate(self, call: EngineCall) -> AsyncGenerator[EngineEvent, None]:
        """Run a call; yields a head, chunks, and a finish or a refusal at the end."""
        sending = Sending()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + call.timeout_s
        try:
            async with aclosing(self._call_events(call, sending, deadline_s)) as events:
                async for event in events:
                    yield event
        except EXCHANGE_ERRORS as error:
            is_late = loop.time() >= deadline_s
            yield refusal_from_error(TimeoutError() if is_late else error, sending)

    async def order(self, order: EngineOrder) -> Refusal | None:
        """Send an order; None when done, STALE_FENCE when its fence is outdated."""
        document = {
            "fence": order.fence,
            "action": order.action,
            "version": order.version,
            "role": order.role,
        }
        url = f"{self.url}/orders"
        answer = await call_json(self.client, "POST", url, orjson.dumps(document))
        if answer.status == HTTP_CONFLICT:
            return Refusal(Reason.STALE_FENCE, True, f"fence {order.fence} is old")
        if answer.status != HTTP_OK:
            detail = f"order refused with status {answer.status}"
            return Refusal(Reason.ENDPOINT_FAILED, True, detail)
        return None

    async def load(self) -> EngineLoad:
        """Fetch the load report; raises PlatformUnavailableError."""
        answer = await call_json(self.client, "GET", f"{self.url}/load")
        document = answer.document
        return EngineLoad(
            in_flight=int(document["in_flight"]),
            queued=int(document["queued"]),
            cold=bool(document["cold"]),
            versions=tuple(document.get("versions", ())),
            role=str(document.get("role", "")),
            restarts=int(document.get("restarts", 0)),
        )

    async def _call_events(
        self, call: EngineCall, sending: Sending, deadline_s: float
    ) -> AsyncGenerator[EngineEvent, None]:
        body = _build_body(call)
        if body is None:
            yield Refusal(Reason.MALFORMED_REQUEST, True, "the body is no JSON object")
            return
        url = self.url + CHAT_PATH
        headers = [(REQUEST_ID, call.request_id), ("Content-Type", "application/json")]
        async with asyncio.timeout_at(deadline_s):
            response = await open_exchange(
                self.client, sending, "POST", url, headers=headers, data=body
            )
        try:
            async with aclosing(_read_answer(call, response, deadline_s)) as events:
                async for event in events:
                    yield event
        finally:
            await response.aclose()


async def _read_answer(
    call: EngineCall, response: Any, deadline_s: float
) -> AsyncGenerator[EngineEvent, None]:
    """Check the head, then read the answer: a stream or one document."""
    status = response.status_code
    refusal = _head_refusal(call, response)
    if refusal is not None:
        yield refusal
        return
    yield EngineHead(status, end_to_end_headers(response.raw_headers))
    if call.stream and status == HTTP_OK:
        async with aclosing(_read_stream(call, response, deadline_s)) as events:
            async for event in events:
                yield event
        return
    async with asyncio.timeout_at(deadline_s):
        data = await read_body(response, MAX_ANSWER_BYTES)
    for event in _read_complete_answer(call, status, data):
        yield event


def _head_refusal(call: EngineCall, response: Any) -> Refusal | None:
    """Return a refusal for an error status or an id of another request."""
    status = response.status_code
    if status == HTTP_TOO_MANY_REQUESTS:
        return Refusal(Reason.OVERLOADED, False, "the engine is overloaded")
    if status >= MIN_SERVER_ERROR:
        return Refusal(Reason.ENDPOINT_FAILED, False, f"engine status {status}")
    echoed = response.headers.get(REQUEST_ID, call.request_id)
    if echoed != call.request_id:
        return Refusal(Reason.ANSWER_MISMATCH, False, f"answer for {echoed!r}")
    return None


def _read_complete_answer(
    call: EngineCall, status: int, data: bytes
) -> list[EngineEvent]:
    """Check a complete answer; a client error (4xx) is relayed as an answer."""
    if status >= MIN_CLIENT_ERROR:
        return [EngineChunk(data), build_finish("error", {})]
    completion = read_completion(data, call.request_id)
    if isinstance(completion, Refusal):
        return [completion]
    if completion.finish_reason is None:
        return [Refusal(Reason.ANSWER_TRUNCATED, False, "no finish reason")]
    finish = build_finish(completion.finish_reason, completion.usage)
    chunk = EngineChunk(data, finish.completion_tokens, completion.text)
    return [chunk, finish]


async def _read_stream(
    call: EngineCall, response: Any, deadline_s: float
) -> AsyncGenerator[EngineEvent, None]:
    """Check and relay events as they arrive; a premature end is a refusal."""
    splitter = SseSplitter()
    finish_reason = ""
    usage: dict[str, Any] = {}
    done = False
    async with aclosing(_timed_chunks(call, response, deadline_s)) as chunks:
        async for chunk in chunks:
            for event in splitter.feed(chunk):
                data = event_data(event)
                if data == DONE:
                    done = True
                    continue
                if data is None and event.startswith(b":"):
                    continue
                completion = read_completion(data or event, call.request_id)
                if isinstance(completion, Refusal):
                    yield completion
                    return
                finish_reason = completion.finish_reason or finish_reason
                usage = completion.usage or usage
                text = completion.text
                yield EngineChunk(event + BLANK_LINE, 1 if text else 0, text)
    if not (done and finish_reason):
        yield Refusal(Reason.ANSWER_TRUNCATED, False, "the stream ended early")
        return
    yield build_finish(finish_reason, usage)


async def _timed_chunks(
    call: EngineCall, response: Any, deadline_s: float
) -> AsyncGenerator[bytes, None]:
    """Yield chunks; raises TimeoutError when none arrives for ``stall_s``.

    Another engine can then resume the answer. A stalled stream looks like a slow
    one, and without this timeout the caller would wait until the call's deadline.
    """
    loop = asyncio.get_running_loop()
    chunks = body_chunks(response)
    while True:
        stall_deadline_s = min(deadline_s, loop.time() + call.stall_s)
        try:
            async with asyncio.timeout_at(stall_deadline_s):
                chunk = await anext(chunks)
        except StopAsyncIteration:
            return
        yield chunk


def _build_body(call: EngineCall) -> bytes | None:
    """Set the router's fields in the caller's body; None if it is not an object."""
    try:
        document = orjson.loads(call.body)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(document, dict):
        return None
    document["model"] = call.version
    document["stream"] = call.stream
    document["priority"] = call.priority
    if call.resume_from_tokens:
        document["resume_from_tokens"] = call.resume_from_tokens
    return orjson.dumps(document)
