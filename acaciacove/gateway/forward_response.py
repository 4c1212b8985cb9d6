"""Forwards an endpoint's successful response to the caller."""

import asyncio

from acaciacove.decisions.byte_budget import MAX_ANSWER_BYTES
from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.errors import InvalidResponseError
from acaciacove.gateway.http.event_splitter import EventSplitter
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.record_result import record_result
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.stream_recorder import new_stream_recorder

# Responses up to this size that are not streamed are buffered, so that a broken one can
# be retried without the caller seeing it. Larger ones fail.
MAX_BUFFERED_BYTES = 65_536
EVENT_STREAM = b"text/event-stream"
# Timeout between two events of a stream that may be resumed.
EVENT_TIMEOUT_S = 2.5


async def forward_buffered(
    gateway: Gateway,
    context: RequestContext,
    exchange: Exchange,
    head: ResponseHead,
    front: FrontConnection,
) -> AttemptOutcome:
    """Forward a response once it has been read completely."""
    body = await exchange.read_body(MAX_BUFFERED_BYTES)
    now_s = asyncio.get_running_loop().time()
    if body is None:
        raise InvalidResponseError(
            f"response from {exchange.state.endpoint.instance} is not streamed"
            f" and exceeds {MAX_BUFFERED_BYTES} bytes"
        )
    exchange.record_whole_response(now_s)
    record_result(gateway, exchange, False, now_s - exchange.sent_at_s)
    context.first_chunk_s = now_s
    exchange.close()
    front.start_response(head.status, head.reason, list(head.headers))
    await front.write(body)
    front.finish_response()
    return AttemptOutcome.DELIVERED


async def forward_stream(
    gateway: Gateway,
    context: RequestContext,
    exchange: Exchange,
    head: ResponseHead,
    front: FrontConnection,
    may_retry: bool,
) -> AttemptOutcome:
    """Forward complete events as they arrive.

    The response head is sent with the first event, so that a stream that breaks before
    it can be retried at another endpoint without the caller seeing it.
    """
    splitter = EventSplitter()
    loop = asyncio.get_running_loop()
    recorder = new_stream_recorder(gateway, context)
    may_resume = may_retry and context.route.may_repeat
    while True:
        async with asyncio.timeout(EVENT_TIMEOUT_S if may_resume else None):
            data = await exchange.next_data()
        if data is None:
            break
        events = splitter.push(data)
        _keep(exchange, splitter.rest_bytes)
        if not events:
            continue
        now_s = loop.time()
        if not context.events_delivered:
            context.first_chunk_s = now_s
            waited_s = now_s - context.request.arrived_s
            target_s = context.route.latency_target_s
            # The time for which an escalation was postponed is no delay of an endpoint.
            waited_s -= context.postponed_s
            gateway.delay_cost(context.service.name).learn(waited_s, target_s)
            took_s = now_s - exchange.sent_at_s - context.postponed_s
            record_result(gateway, exchange, False, took_s)
            _count_model_size(gateway, context)
            _start_stream(front, head)
            context.events_delivered = True
        recorder.record_event(now_s)
        await front.write(events)
        recorder.record_written(loop.time())
        context.last_event_id = splitter.last_id or context.last_event_id
    if _is_event_stream(head):
        _check_stream_end(context, exchange, splitter)
    if not context.events_delivered:
        _start_stream(front, head)
        context.events_delivered = True
    recorder.record_end()
    if splitter.rest_bytes:
        await front.write(splitter.rest)
    front.finish_response()
    return AttemptOutcome.DELIVERED


def _is_event_stream(head: ResponseHead) -> bool:
    """Return whether the body consists of events, as it does unless the head differs.

    The body of any other content type has no incomplete event.
    """
    content_type = dict(head.headers).get(b"content-type", EVENT_STREAM)
    return content_type.strip().lower().startswith(EVENT_STREAM)


def _check_stream_end(
    context: RequestContext, exchange: Exchange, splitter: EventSplitter
) -> None:
    """Raise InvalidResponseError if the stream was cut off, whatever its framing."""
    instance = exchange.state.endpoint.instance
    if splitter.is_inside_event:
        raise InvalidResponseError(
            f"the stream from {instance} ended inside an event, after"
            f" {splitter.rest_bytes} bytes of it"
        )
    is_resumed = context.last_event_id or context.request.hints.last_event_id
    if exchange.is_close_delimited and not context.events_delivered and not is_resumed:
        raise InvalidResponseError(
            f"{instance} closed the connection before the first event of its stream"
        )


def _keep(exchange: Exchange, rest_bytes: int) -> None:
    """Count the bytes of an incomplete event.

    Raises InvalidResponseError if it is too large: bytes that are no event may come
    without end.
    """
    exchange.kept.set(rest_bytes)
    if rest_bytes > MAX_ANSWER_BYTES:
        raise InvalidResponseError(
            f"an event from {exchange.state.endpoint.instance} exceeds"
            f" {MAX_ANSWER_BYTES} bytes"
        )


def _count_model_size(gateway: Gateway, context: RequestContext) -> None:
    """Count a delivered response by its model size."""
    if context.route.model_sizes:
        gateway.metrics.count(Metric.CASCADE, size_label(context), "yes")


def size_label(context: RequestContext) -> str:
    """Return the index of the model among the route's sizes, 0 being the smallest."""
    sizes = context.route.model_sizes
    return str(sizes.index(context.model)) if context.model in sizes else "caller's"


def _start_stream(front: FrontConnection, head: ResponseHead) -> None:
    """Send the head without a content length, since the stream may be resumed."""
    headers = [(n, v) for n, v in head.headers if n != b"content-length"]
    front.start_response(head.status, head.reason, headers)
