"""Reads a response head and decides how the response is processed."""

import asyncio

from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.choose_model import learn_confidence
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.escalation import choose_escalation
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.forward_response import (
    MAX_BUFFERED_BYTES,
    forward_buffered,
    forward_stream,
    size_label,
)
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.errors import ConnectionLostError, InvalidResponseError
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_limit import log_limit
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.record_notices import record_notices
from acaciacove.gateway.record_result import record_failure, record_result
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.response_summary import ResponseSummary

# While a retry is possible, the response head must arrive within this many latency
# targets. The timeout is never below ``MIN_HEAD_TIMEOUT_S``.
HEAD_TIMEOUT_TARGETS = 1.5
MIN_HEAD_TIMEOUT_S = 0.35
SERVER_ERROR_STATUS = 500
# A refusal is short and sent at once; the caller waits for the next endpoint meanwhile.
REFUSAL_BODY_TIMEOUT_S = 0.2
# A failure is short as well, and may become the response to the caller.
FAILURE_BODY_TIMEOUT_S = 1.0


async def process_response(
    gateway: Gateway,
    context: RequestContext,
    exchange: Exchange,
    front: FrontConnection,
    may_retry: bool,
    may_escalate: bool,
) -> AttemptOutcome:
    """Read the response head and decide how the response is processed."""
    async with asyncio.timeout(_head_timeout_s(context, may_retry)):
        head = await exchange.read_head()
    state = exchange.state
    now_s = asyncio.get_running_loop().time()
    _apply_load(gateway, context, state, head, now_s)
    if not head.misdirected:
        _update_limit(gateway, exchange, head, now_s)
        record_notices(gateway, state.endpoint, head, now_s)
    assert exchange.connection is not None
    if head.idle_timeout_s is not None:
        exchange.connection.idle_timeout_s = head.idle_timeout_s
    context.responses.append(_summarise_response(exchange, head, now_s))
    if head.is_success:
        exchange.record_first_chunk(now_s)
    if head.not_run:
        await _skip_refusal(exchange)
        # Refusals come at once and leave no request in flight. An endpoint that refuses
        # everything would look idle and be chosen first each time.
        context.refused_by.add(state.endpoint.instance)
        record_failure(gateway, state, AttemptOutcome.NOT_RUN, "refused")
        return AttemptOutcome.NOT_RUN
    if not head.is_success or not head.has_receipt or head.encoded:
        return await _read_failure(gateway, context, exchange, head)
    confidence = learn_confidence(gateway, context, state, head)
    if confidence is not None and may_escalate:
        context.next_model = await choose_escalation(gateway, exchange, confidence)
    if context.next_model is not None:
        record_result(gateway, exchange, False, now_s - exchange.sent_at_s)
        gateway.metrics.count(Metric.CASCADE, size_label(context), "no")
        return AttemptOutcome.LOW_CONFIDENCE
    if context.route.repetition is Repetition.STREAMING:
        return await forward_stream(gateway, context, exchange, head, front, may_retry)
    return await forward_buffered(gateway, context, exchange, head, front)


async def _skip_refusal(exchange: Exchange) -> None:
    """Read the rest of a refusal, so that its connection can be reused.

    If the rest is cut off, the head still says that the request has not run.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
            await exchange.read_body(MAX_BUFFERED_BYTES)
    except (ConnectionLostError, InvalidResponseError, TimeoutError) as error:
        exchange.gateway.log.write(
            Event.REFUSAL_CUT,
            routine=True,
            request_id=exchange.context.request.hints.request_id,
            endpoint=exchange.state.endpoint.instance,
            detail=str(error) or f"no end within {REFUSAL_BODY_TIMEOUT_S} s",
        )


def _apply_load(
    gateway: Gateway,
    context: RequestContext,
    state: EndpointState,
    head: ResponseHead,
    now_s: float,
) -> None:
    """Apply the load that a response reports, whether it succeeded or not."""
    if head.load is None:
        return
    state.load.apply_report(head.load.running, head.load.waiting, now_s)
    if gateway.settings.overload_control and not head.misdirected:
        s_per_waiting = gateway.overload(context.service.name).queue_delay.s_per_waiting
        wait_s = head.load.waiting * s_per_waiting * state.pace.slowness(now_s)
        state.backlog.report_wait(wait_s, now_s)
    if head.load.pace is not None and not head.misdirected:
        state.pace.report(head.load.pace, now_s)


def _update_limit(
    gateway: Gateway, exchange: Exchange, head: ResponseHead, now_s: float
) -> None:
    """Apply the rate limit that the response states, or its absence."""
    state = exchange.state
    if state.stated_limit.apply_response(
        head.rate_limit_per_s, exchange.sent_at_s, now_s
    ):
        log_limit(gateway.log, state, from_peer=False)
        gateway.gossip_limit(state)


def _summarise_response(
    exchange: Exchange, head: ResponseHead, now_s: float
) -> ResponseSummary:
    return ResponseSummary(
        endpoint=exchange.state.endpoint.instance,
        model=exchange.context.model,
        status=head.status,
        confidence=head.confidence,
        head_latency_s=now_s - exchange.sent_at_s,
        predicted_s=exchange.predicted_s,
    )


def _head_timeout_s(context: RequestContext, may_retry: bool) -> float | None:
    """Return the timeout for the response head, None where no retry is possible."""
    if not may_retry or not context.route.may_repeat:
        return None
    return max(
        MIN_HEAD_TIMEOUT_S, HEAD_TIMEOUT_TARGETS * context.route.latency_target_s
    )


async def _read_failure(
    gateway: Gateway, context: RequestContext, exchange: Exchange, head: ResponseHead
) -> AttemptOutcome:
    """Read a complete failure response; it may become the final response."""
    is_endpoint_failure = head.status >= SERVER_ERROR_STATUS or head.is_success
    if is_endpoint_failure:
        record_result(gateway, exchange, True, None)
    try:
        async with asyncio.timeout(FAILURE_BODY_TIMEOUT_S):
            body = await exchange.read_body(MAX_BUFFERED_BYTES)
    except TimeoutError:
        raise InvalidResponseError(
            f"the failure response from {exchange.state.endpoint.instance} did not end"
            f" within {FAILURE_BODY_TIMEOUT_S} s"
        ) from None
    if body is None or head.is_success:
        return AttemptOutcome.LOST
    context.last_failure = (head, body)
    return AttemptOutcome.FAILED
