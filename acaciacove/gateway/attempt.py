"""One attempt to serve a request at one endpoint."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.choose_model import choose_next_model, learn_confidence
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_unwilling_error import EndpointUnwillingError
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.errors import (
    ConnectFailedError,
    ConnectionLostError,
    InvalidResponseError,
)
from acaciacove.gateway.http.event_splitter import EventSplitter
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_limit import log_limit
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.quarantine.trial_taken_error import TrialTakenError
from acaciacove.gateway.record_notices import record_notices
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.response_summary import ResponseSummary
from acaciacove.gateway.usable_endpoints import cold_share, is_endpoint_left

# Connections within a region are made in a few milliseconds. One that takes this long
# goes to a machine that no longer exists.
CONNECT_TIMEOUT_S = 0.4
# Responses up to this size that are not streamed are buffered, so that a broken one can
# be retried without the caller seeing it. Larger ones fail.
MAX_BUFFERED_BYTES = 65_536
# While a retry is possible, the response head must arrive within this many latency
# targets. The timeout is never below ``MIN_HEAD_TIMEOUT_S``.
HEAD_TIMEOUT_TARGETS = 1.5
MIN_HEAD_TIMEOUT_S = 0.35
# Timeout between two events of a stream that may be resumed.
EVENT_TIMEOUT_S = 2.5
SERVER_ERROR_STATUS = 500


async def attempt(
    gateway: Gateway,
    context: RequestContext,
    state: EndpointState,
    front: FrontConnection,
    may_retry: bool,
    may_escalate: bool,
) -> AttemptOutcome:
    """Send the request to an endpoint and forward its response.

    ``may_retry`` means that another attempt may follow, ``may_escalate`` that a
    response of low confidence may be replaced by one of a larger model.
    """
    exchange = Exchange(gateway, context, state)
    try:
        with _track_in_flight(gateway, context, state):
            with _reserve_limits(gateway, context, state):
                await exchange.open(CONNECT_TIMEOUT_S)
                if context.on_trial:
                    await gateway.guard.acquire_trial(
                        context.fingerprint, state.endpoint
                    )
                _check_wanted(gateway, state)
                _record_sent(gateway, context, state)
            exchange.send()
            outcome = await _process_response(
                gateway, context, exchange, front, may_retry, may_escalate
            )
    except (TrialTakenError, EndpointUnwillingError):
        outcome = AttemptOutcome.NOT_SENT
    except ConnectFailedError as error:
        outcome = AttemptOutcome.NOT_SENT
        _record_failure(gateway, state, outcome, str(error))
    except (ConnectionLostError, InvalidResponseError) as error:
        broken = context.events_delivered
        outcome = AttemptOutcome.BROKEN if broken else AttemptOutcome.LOST
        _record_failure(gateway, state, outcome, str(error))
        if exchange.sent:
            gateway.crash_detector.record_lost_request(state, context.fingerprint)
    except TimeoutError:
        broken = context.events_delivered
        outcome = AttemptOutcome.BROKEN if broken else AttemptOutcome.TIMED_OUT
        _record_failure(gateway, state, outcome, "silence")
    finally:
        exchange.close()
    if exchange.sent and outcome is not AttemptOutcome.NOT_RUN:
        context.may_have_run = True
    return outcome


def _check_wanted(gateway: Gateway, state: EndpointState) -> None:
    """Check again what was true when the endpoint was chosen.

    It may have announced its departure, or asked for rest, in response to another
    request while the connection was being made. Raises EndpointUnwillingError.
    """
    now_s = asyncio.get_running_loop().time()
    rest_s = gateway.states.rest_left_s(state.endpoint, now_s)
    if rest_s > 0.0:
        raise EndpointUnwillingError(state.endpoint.instance, f"rests for {rest_s} s")
    if gateway.states.is_leaving(state.endpoint):
        raise EndpointUnwillingError(state.endpoint.instance, "it leaves")


@contextmanager
def _track_in_flight(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> Iterator[None]:
    """Count the request in flight, at the endpoint and for a roll-out's old version."""
    progress = gateway.rollouts.get(context.service.name)
    is_old = progress is not None and state.endpoint.version != progress.order.target
    state.load.in_flight += 1
    if progress is not None and is_old:
        progress.old_in_flight += 1
    try:
        yield
    finally:
        state.load.in_flight -= 1
        if progress is not None and is_old:
            progress.old_in_flight -= 1


@contextmanager
def _reserve_limits(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> Iterator[None]:
    """Reserve a place in the limits for the request while its connection is made."""
    progress = gateway.rollouts.get(context.service.name)
    is_target = progress is not None and state.endpoint.version == progress.order.target
    state.cold_limiter.reserve()
    state.stated_limit.reserve()
    if progress is not None and is_target:
        progress.reserved_target += 1
    try:
        yield
    finally:
        state.cold_limiter.release()
        state.stated_limit.release()
        if progress is not None and is_target:
            progress.reserved_target -= 1


def _record_sent(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> None:
    now_s = asyncio.get_running_loop().time()
    context.sent_count += 1
    context.tried_instances.add(state.endpoint.instance)
    context.trail.append(f"{state.endpoint.instance}@{state.endpoint.version}")
    service = context.service.name
    gateway.record_sent(service, now_s)
    state.stated_limit.count(now_s)
    if cold_share(gateway, context, state, now_s) is not None:
        state.cold_limiter.count(now_s)
    progress = gateway.rollouts.get(service)
    if progress is not None:
        progress.sent_all += 1
        if state.endpoint.version == progress.order.target:
            progress.sent_target += 1
    if context.session is not None:
        gateway.sessions.put(service, context.session, state.endpoint.version, now_s)


def _record_failure(
    gateway: Gateway, state: EndpointState, outcome: AttemptOutcome, detail: str
) -> None:
    now_s = asyncio.get_running_loop().time()
    broken = outcome in (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.LOST,
        AttemptOutcome.BROKEN,
    )
    if state.health.count_failure(now_s, broken):
        gateway.metrics.count(Metric.EJECTIONS)
        gateway.log.write(
            Event.ENDPOINT_EJECTED,
            endpoint=state.endpoint.instance,
            until_s=round(state.health.ejected_until_s - now_s, 3),
            outcome=outcome.value,
            detail=detail,
        )


async def _process_response(
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
    if head.load is not None:
        running, waiting, _ = head.load
        state.load.apply_report(running, waiting, now_s)
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
        await exchange.read_body(MAX_BUFFERED_BYTES)
        # Refusals come at once and leave no request in flight. An endpoint that refuses
        # everything would look idle and be chosen first each time.
        context.refused_by.add(state.endpoint.instance)
        _record_failure(gateway, state, AttemptOutcome.NOT_RUN, "refused")
        return AttemptOutcome.NOT_RUN
    if not head.is_success or not head.has_receipt or head.encoded:
        return await _read_failure(gateway, context, exchange, head)
    confidence = learn_confidence(gateway, context, state, head)
    may_escalate = may_escalate and is_endpoint_left(gateway, context, now_s)
    if confidence is not None and may_escalate:
        context.next_model = choose_next_model(gateway, context, confidence, now_s)
    if context.next_model is not None:
        _record_result(gateway, exchange, False, now_s - exchange.sent_at_s)
        gateway.metrics.count(Metric.CASCADE, _size_label(context), "no")
        return AttemptOutcome.LOW_CONFIDENCE
    if context.route.repetition is Repetition.STREAMING:
        return await _forward_stream(gateway, context, exchange, head, front, may_retry)
    return await _forward_buffered(gateway, context, exchange, head, front)


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


def _record_result(
    gateway: Gateway, exchange: Exchange, failed: bool, first_chunk_s: float | None
) -> None:
    """Record a result for the endpoint's health and as evidence for a roll-out."""
    state = exchange.state
    if failed:
        _record_failure(gateway, state, AttemptOutcome.FAILED, "failure answer")
    else:
        state.health.count_success()
    exchange.record_evidence(failed, first_chunk_s)


async def _read_failure(
    gateway: Gateway, context: RequestContext, exchange: Exchange, head: ResponseHead
) -> AttemptOutcome:
    """Read a complete failure response; it may become the final response."""
    is_endpoint_failure = head.status >= SERVER_ERROR_STATUS or head.is_success
    if is_endpoint_failure:
        _record_result(gateway, exchange, True, None)
    body = await exchange.read_body(MAX_BUFFERED_BYTES)
    if body is None or head.is_success:
        return AttemptOutcome.LOST
    context.last_failure = (head, body)
    return AttemptOutcome.FAILED


async def _forward_buffered(
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
    _record_result(gateway, exchange, False, now_s - exchange.sent_at_s)
    context.first_chunk_s = now_s
    exchange.close()
    front.start_response(head.status, head.reason, list(head.headers))
    await front.write(body)
    front.finish_response()
    return AttemptOutcome.DELIVERED


async def _forward_stream(
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
    may_resume = may_retry and context.route.may_repeat
    while True:
        async with asyncio.timeout(EVENT_TIMEOUT_S if may_resume else None):
            data = await exchange.next_data()
        if data is None:
            break
        events = splitter.push(data)
        if not events:
            continue
        if not context.events_delivered:
            now_s = asyncio.get_running_loop().time()
            context.first_chunk_s = now_s
            waited_s = now_s - context.request.arrived_s
            target_s = context.route.latency_target_s
            gateway.delay_cost(context.service.name).learn(waited_s, target_s)
            _record_result(gateway, exchange, False, now_s - exchange.sent_at_s)
            _count_model_size(gateway, context)
            _start_stream(front, head)
            context.events_delivered = True
        await front.write(events)
        context.last_event_id = splitter.last_id or context.last_event_id
    if not context.events_delivered:
        _start_stream(front, head)
        context.events_delivered = True
    if splitter.rest:
        await front.write(splitter.rest)
    front.finish_response()
    return AttemptOutcome.DELIVERED


def _count_model_size(gateway: Gateway, context: RequestContext) -> None:
    """Count a delivered response by its model size."""
    if context.route.model_sizes:
        gateway.metrics.count(Metric.CASCADE, _size_label(context), "yes")


def _size_label(context: RequestContext) -> str:
    """Return the index of the model among the route's sizes, 0 being the smallest."""
    sizes = context.route.model_sizes
    return str(sizes.index(context.model)) if context.model in sizes else "caller's"


def _start_stream(front: FrontConnection, head: ResponseHead) -> None:
    """Send the head without a content length, since the stream may be resumed."""
    headers = [(n, v) for n, v in head.headers if n != b"content-length"]
    front.start_response(head.status, head.reason, headers)
