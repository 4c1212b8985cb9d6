"""One attempt to serve a request at one endpoint."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.choose_model import choose_next_model, learn_confidence
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.head_seen import HeadSeen
from acaciacove.gateway.http.answer_head import AnswerHead
from acaciacove.gateway.http.errors import (
    BadAnswerError,
    ConnectFailedError,
    ConnectionLostError,
)
from acaciacove.gateway.http.event_splitter import EventSplitter
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_limit import log_limit
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.quarantine.trial_taken_error import TrialTakenError
from acaciacove.gateway.usable_endpoints import cold_part
from acaciacove.gateway.work import Work

# Connections within a region are made in a few milliseconds. One that takes this long
# goes to a machine that no longer exists.
CONNECT_TIMEOUT_S = 0.4
# Responses up to this size that are not streamed are buffered, so that a broken one can
# be retried without the caller seeing it. Larger ones fail.
WHOLE_ANSWER_BYTES = 65_536
# While a retry is possible, the response head must arrive within this many latency
# targets. The timeout is never below ``MIN_HEAD_TIMEOUT_S``.
HEAD_WAIT_TARGETS = 1.5
HEAD_WAIT_LEAST_S = 0.35
# Timeout between two events of a stream that may be resumed.
PAUSE_LIMIT_S = 2.5
SERVER_ERROR = 500


async def attempt(
    gateway: Gateway,
    work: Work,
    state: EndpointState,
    front: FrontConnection,
    may_follow: bool,
    may_enlarge: bool,
) -> AttemptOutcome:
    """Send the request to an endpoint and forward its response.

    ``may_retry`` means that another attempt may follow, ``may_escalate`` that a
    response of low confidence may be replaced by one of a larger model.
    """
    exchange = Exchange(gateway, work, state)
    try:
        with _counted(gateway, work, state):
            with _reserved(gateway, work, state):
                await exchange.open(CONNECT_TIMEOUT_S)
                if work.on_trial:
                    await gateway.guard.take_trial(work.fingerprint, state.endpoint)
                _note_sent(gateway, work, state)
            exchange.send()
            outcome = await _answer(
                gateway, work, exchange, front, may_follow, may_enlarge
            )
    except TrialTakenError:
        outcome = AttemptOutcome.NOT_SENT
    except ConnectFailedError as error:
        outcome = AttemptOutcome.NOT_SENT
        _note_failure(gateway, state, outcome, str(error))
    except (ConnectionLostError, BadAnswerError) as error:
        broken = work.events_delivered
        outcome = AttemptOutcome.BROKEN if broken else AttemptOutcome.LOST
        _note_failure(gateway, state, outcome, str(error))
        if exchange.sent:
            gateway.crash_watch.note_lost(state, work.fingerprint)
    except TimeoutError:
        broken = work.events_delivered
        outcome = AttemptOutcome.BROKEN if broken else AttemptOutcome.SILENT
        _note_failure(gateway, state, outcome, "silence")
    finally:
        exchange.close()
    if exchange.sent and outcome is not AttemptOutcome.NOT_RUN:
        work.may_have_run = True
    return outcome


@contextmanager
def _counted(gateway: Gateway, work: Work, state: EndpointState) -> Iterator[None]:
    """Count the request in flight, at the endpoint and for a roll-out's old version."""
    progress = gateway.rollouts.get(work.service.name)
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
def _reserved(gateway: Gateway, work: Work, state: EndpointState) -> Iterator[None]:
    """Reserve a place in the limits for the request while its connection is made."""
    progress = gateway.rollouts.get(work.service.name)
    is_target = progress is not None and state.endpoint.version == progress.order.target
    state.cold.reserve()
    state.limit.reserve()
    if progress is not None and is_target:
        progress.reserved_target += 1
    try:
        yield
    finally:
        state.cold.release()
        state.limit.release()
        if progress is not None and is_target:
            progress.reserved_target -= 1


def _note_sent(gateway: Gateway, work: Work, state: EndpointState) -> None:
    now_s = asyncio.get_running_loop().time()
    work.sent += 1
    work.tried.add(state.endpoint.instance)
    work.trail.append(f"{state.endpoint.instance}@{state.endpoint.version}")
    service = work.service.name
    gateway.note_sent(service, now_s)
    state.limit.count(now_s)
    if cold_part(gateway, work, state, now_s) is not None:
        state.cold.count(now_s)
    progress = gateway.rollouts.get(service)
    if progress is not None:
        progress.sent_all += 1
        if state.endpoint.version == progress.order.target:
            progress.sent_target += 1
    if work.session is not None:
        gateway.sessions.put(service, work.session, state.endpoint.version, now_s)


def _note_failure(
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


async def _answer(
    gateway: Gateway,
    work: Work,
    exchange: Exchange,
    front: FrontConnection,
    may_follow: bool,
    may_enlarge: bool,
) -> AttemptOutcome:
    """Read the response head and decide how the response is processed."""
    async with asyncio.timeout(_head_wait_s(work, may_follow)):
        head = await exchange.read_head()
    state = exchange.state
    now_s = asyncio.get_running_loop().time()
    if head.load is not None:
        running, waiting, _ = head.load
        state.load.report(running, waiting, now_s)
    if not head.misdirected:
        _note_limit(gateway, exchange, head, now_s)
    assert exchange.connection is not None
    if head.idle_timeout_s is not None:
        exchange.connection.idle_timeout_s = head.idle_timeout_s
    work.heads.append(_head_seen(exchange, head, now_s))
    if head.is_success:
        exchange.note_first_piece(now_s)
    if head.not_run:
        await exchange.read_whole(WHOLE_ANSWER_BYTES)
        # Refusals come at once and leave no request in flight. An endpoint that refuses
        # everything would look idle and be chosen first each time.
        work.refused_by.add(state.endpoint.instance)
        _note_failure(gateway, state, AttemptOutcome.NOT_RUN, "refused")
        return AttemptOutcome.NOT_RUN
    if not head.is_success or not head.signed or head.encoded:
        return await _failure(gateway, work, exchange, head)
    told = learn_confidence(gateway, work, state, head)
    if told is not None and may_enlarge:
        work.next_model = choose_next_model(gateway, work, told, now_s)
    if work.next_model is not None:
        _note_answer(gateway, exchange, False, now_s - exchange.began_s)
        gateway.metrics.count(Metric.CASCADE, _size_of(work), "no")
        return AttemptOutcome.UNSURE
    if work.route.repetition is Repetition.STREAMING:
        return await _stream(gateway, work, exchange, head, front, may_follow)
    return await _whole(gateway, work, exchange, head, front)


def _note_limit(
    gateway: Gateway, exchange: Exchange, head: AnswerHead, now_s: float
) -> None:
    """Apply the rate limit that the response states, or its absence."""
    state = exchange.state
    if state.limit.hear(head.rate_limit_per_s, exchange.began_s, now_s):
        log_limit(gateway.log, state, told=False)
        gateway.tell_limit(state)


def _head_seen(exchange: Exchange, head: AnswerHead, now_s: float) -> HeadSeen:
    return HeadSeen(
        endpoint=exchange.state.endpoint.instance,
        model=exchange.work.model,
        status=head.status,
        confidence=head.confidence,
        took_s=now_s - exchange.began_s,
        predicted_s=exchange.predicted_s,
    )


def _head_wait_s(work: Work, may_follow: bool) -> float | None:
    """Return the timeout for the response head, None where no retry is possible."""
    if not may_follow or not work.route.may_repeat:
        return None
    return max(HEAD_WAIT_LEAST_S, HEAD_WAIT_TARGETS * work.route.latency_target_s)


def _note_answer(
    gateway: Gateway, exchange: Exchange, failed: bool, first_piece_s: float | None
) -> None:
    """Record a result for the endpoint's health and as evidence for a roll-out."""
    state = exchange.state
    if failed:
        _note_failure(gateway, state, AttemptOutcome.FAILED, "failure answer")
    else:
        state.health.count_success()
    exchange.count_evidence(failed, first_piece_s)


async def _failure(
    gateway: Gateway, work: Work, exchange: Exchange, head: AnswerHead
) -> AttemptOutcome:
    """Read a complete failure response; it may become the final response."""
    is_fault = head.status >= SERVER_ERROR or head.is_success
    if is_fault:
        _note_answer(gateway, exchange, True, None)
    body = await exchange.read_whole(WHOLE_ANSWER_BYTES)
    if body is None or head.is_success:
        return AttemptOutcome.LOST
    work.kept_failure = (head, body)
    return AttemptOutcome.FAILED


async def _whole(
    gateway: Gateway,
    work: Work,
    exchange: Exchange,
    head: AnswerHead,
    front: FrontConnection,
) -> AttemptOutcome:
    """Forward a response once it has been read completely."""
    body = await exchange.read_whole(WHOLE_ANSWER_BYTES)
    now_s = asyncio.get_running_loop().time()
    if body is None:
        raise BadAnswerError(
            f"response from {exchange.state.endpoint.instance} is not streamed"
            f" and exceeds {WHOLE_ANSWER_BYTES} bytes"
        )
    _note_answer(gateway, exchange, False, now_s - exchange.began_s)
    work.first_piece_s = now_s
    exchange.close()
    front.start(head.status, head.reason, list(head.headers))
    await front.write(body)
    front.finish()
    return AttemptOutcome.DELIVERED


async def _stream(
    gateway: Gateway,
    work: Work,
    exchange: Exchange,
    head: AnswerHead,
    front: FrontConnection,
    may_follow: bool,
) -> AttemptOutcome:
    """Forward complete events as they arrive.

    The response head is sent with the first event, so that a stream that breaks before
    it can be retried at another endpoint without the caller seeing it.
    """
    splitter = EventSplitter()
    may_resume = may_follow and work.route.may_repeat
    while True:
        async with asyncio.timeout(PAUSE_LIMIT_S if may_resume else None):
            data = await exchange.next_event()
        if data is None:
            break
        whole = splitter.push(data)
        if not whole:
            continue
        if not work.events_delivered:
            now_s = asyncio.get_running_loop().time()
            work.first_piece_s = now_s
            waited_s = now_s - work.request.arrived_s
            target_s = work.route.latency_target_s
            gateway.delay_cost(work.service.name).learn(waited_s, target_s)
            _note_answer(gateway, exchange, False, now_s - exchange.began_s)
            _note_size(gateway, work)
            _start_stream(front, head)
            work.events_delivered = True
        await front.write(whole)
        work.last_event_id = splitter.last_id or work.last_event_id
    if not work.events_delivered:
        _start_stream(front, head)
        work.events_delivered = True
    if splitter.rest:
        await front.write(splitter.rest)
    front.finish()
    return AttemptOutcome.DELIVERED


def _note_size(gateway: Gateway, work: Work) -> None:
    """Count a delivered response by its model size."""
    if work.route.model_sizes:
        gateway.metrics.count(Metric.CASCADE, _size_of(work), "yes")


def _size_of(work: Work) -> str:
    """Return the index of the model among the route's sizes, 0 being the smallest."""
    sizes = work.route.model_sizes
    return str(sizes.index(work.model)) if work.model in sizes else "caller's"


def _start_stream(front: FrontConnection, head: AnswerHead) -> None:
    """Send the head without a content length, since the stream may be resumed."""
    headers = [(n, v) for n, v in head.headers if n != b"content-length"]
    front.start(head.status, head.reason, headers)
