"""Dispatches one request: chooses a route, attempts it and retries if allowed."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.cascade import should_escalate
from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_feedback import (
    compute_signal,
    record_escalated_answer,
    record_first_answer,
)
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.bill_request import bill_request
from acaciacove.entry.buffered_attempt import request_answer
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.choose_route import choose_route
from acaciacove.entry.complete_answer import CompleteAnswer
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.entry.retry_rule import as_refusal, final_refusal
from acaciacove.entry.try_endpoint import try_endpoint
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.messages.refused import Refused
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

MAX_ATTEMPTS = 8


async def dispatch(
    request: CallerRequest, entry: EntryState
) -> AsyncGenerator[AnswerEvent, None]:
    """Yield the events of an answer; the last is an AnswerEnd or a Refusal.

    The request is billed in every case, also when the caller disconnects before the
    answer is complete.
    """
    progress = Progress()
    entry.retries.earn()
    entry.hedges.earn()
    end: AnswerEnd | None = None
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    has_first_chunk = False
    events = _attempt_until_final(request, progress, entry)
    try:
        async with aclosing(events):
            async for event in events:
                match event:
                    case AnswerChunk() if not has_first_chunk:
                        has_first_chunk = True
                        latency_s = loop.time() - started_s
                        entry.metrics.count_first_chunk(request, latency_s)
                    case AnswerEnd():
                        end = event
                        entry.metrics.count_answer(
                            request, end, loop.time() - started_s
                        )
                yield event
    finally:
        if (
            end is None
            and progress.attempted_endpoints
            and not progress.all_attempts_ended
        ):
            progress.may_have_run = True
        bill_request(request, progress, entry, end)


async def _attempt_until_final(
    request: CallerRequest, progress: Progress, entry: EntryState
) -> AsyncGenerator[AnswerEvent, None]:
    """Make attempts until one succeeds or no further one is allowed."""
    while True:
        chosen = choose_route(request, progress, entry)
        if isinstance(chosen, Refusal):
            progress.all_attempts_ended = True
            yield chosen
            return
        refused: Refused | None = None
        events = _answer_events(request, progress, entry, *chosen)
        async with aclosing(events):
            async for event in events:
                if isinstance(event, Refused):
                    refused = event
                    break
                yield event
        if refused is None:
            return
        refusal = _record_failed_attempt(refused, request, progress, entry, chosen[1])
        if refusal is not None:
            progress.all_attempts_ended = True
            yield refusal
            return


async def _answer_events(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> AsyncGenerator[AnswerEvent | Refused, None]:
    """Yield the events of one attempt, or of the version it escalates to."""
    if request.stream:
        events = _streamed_events(request, progress, entry, version, endpoint)
        async with aclosing(events):
            async for event in events:
                yield event
        return
    answer = await request_answer(request, progress, entry, version, endpoint)
    if isinstance(answer, Refused):
        yield answer
        return
    signal = compute_signal(answer.head, answer.end)
    record_first_answer(
        request, entry, answer.end, signal, answer.chunks, progress.is_trial
    )
    if _may_escalate(request, progress, entry, answer, signal):
        escalated_answer = await _escalate(request, progress, entry, answer, signal)
        answer = escalated_answer or answer
    yield answer.head
    for chunk in answer.chunks:
        yield chunk
    yield answer.end


async def _streamed_events(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> AsyncGenerator[AnswerEvent | Refused, None]:
    """Relay a stream; a resumed stream gets no second head."""
    is_resumed = progress.has_delivered
    head: AnswerHead | None = None
    chunks: list[AnswerChunk] = []
    events = try_endpoint(request, progress, entry, version, endpoint)
    async with aclosing(events):
        async for event in events:
            match event:
                case AnswerHead():
                    head = event
                    if is_resumed:
                        continue
                case AnswerChunk():
                    chunks.append(event)
                case AnswerEnd() if head is not None and not is_resumed:
                    record_first_answer(
                        request,
                        entry,
                        event,
                        compute_signal(head, event),
                        chunks,
                        False,
                    )
            yield event


def _may_escalate(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    answer: CompleteAnswer,
    signal: float,
) -> bool:
    """Return whether to request a better version in the remaining time."""
    decision = progress.decision
    if decision is None or request.non_idempotent or progress.ladder_index > 0:
        return False
    remaining_s = request.deadline_at_s - asyncio.get_running_loop().time()
    has_time = remaining_s > answer.end.service_s
    return should_escalate(decision, signal, entry.rng, has_time)


async def _escalate(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    first: CompleteAnswer,
    signal: float,
) -> CompleteAnswer | None:
    """Request the next version on the ladder; None means keep the first answer."""
    progress.ladder_index += 1
    entry.metrics.escalations.inc({"api": request.api.name})
    chosen = choose_route(request, progress, entry)
    if isinstance(chosen, Refusal):
        return None
    answer = await request_answer(request, progress, entry, *chosen)
    if isinstance(answer, Refused):
        return None
    record_escalated_answer(request, entry, first, signal, answer)
    return answer


def _record_failed_attempt(
    refused: Refused,
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    endpoint: Instance,
) -> Refusal | None:
    """Record a failed attempt; return a Refusal if no further one is allowed."""
    log_event(
        "attempt_failed",
        request_id=request.request_id,
        attempt=progress.attempts,
        endpoint=endpoint.name,
        reason=refused.reason,
        not_run=refused.not_run,
        detail=refused.detail,
    )
    progress.last_refused = refused
    if refused.reason == Reason.NO_ENDPOINT and progress.version is not None:
        entry.router.record_missing_version(endpoint, progress.version)
        if not progress.has_delivered and request.requested_version is None:
            # Choose the version again as for a new request, since another one may be
            # served meanwhile.
            progress.decision = None
    progress.may_have_run |= not refused.not_run
    progress.failed_endpoints.add(endpoint.name)
    final = final_refusal(refused, request, progress)
    if final is None and progress.attempts >= MAX_ATTEMPTS:
        final = as_refusal(refused, progress)
    if final is None and not entry.retries.spend():
        final = as_refusal(refused, progress)
    if final is not None:
        entry.metrics.count_refusal(final)
    return final
