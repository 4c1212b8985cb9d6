"""The way of one request: choose, attempt, and go on elsewhere when allowed."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.cascade import should_escalate
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_piece import AnswerPiece
from acaciacove.entry.bill_request import bill_request
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.choose import choose
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.learn_from import learn_from, learn_from_second, signal_of
from acaciacove.entry.progress import Progress
from acaciacove.entry.retry_rule import as_refusal, final_refusal
from acaciacove.entry.try_endpoint import try_endpoint
from acaciacove.entry.whole_answer import WholeAnswer
from acaciacove.entry.whole_attempt import whole_answer
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

    The request is billed however this ends, also when the caller leaves half-way.
    """
    progress = Progress()
    entry.retries.earn()
    entry.hedges.earn()
    end: AnswerEnd | None = None
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    has_begun = False
    events = _all_attempts(request, progress, entry)
    try:
        async with aclosing(events):
            async for event in events:
                match event:
                    case AnswerPiece() if not has_begun:
                        has_begun = True
                        latency_s = loop.time() - started_s
                        entry.metrics.count_first_piece(request, latency_s)
                    case AnswerEnd():
                        end = event
                        entry.metrics.count_answer(
                            request, end, loop.time() - started_s
                        )
                yield event
    finally:
        if end is None and progress.asked and not progress.is_settled:
            progress.may_have_run = True
        bill_request(request, progress, entry, end)


async def _all_attempts(
    request: CallerRequest, progress: Progress, entry: EntryState
) -> AsyncGenerator[AnswerEvent, None]:
    """Make attempts until one succeeds or none may follow."""
    while True:
        chosen = choose(request, progress, entry)
        if isinstance(chosen, Refusal):
            progress.is_settled = True
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
        refusal = _after_refused(refused, request, progress, entry, chosen[1])
        if refusal is not None:
            progress.is_settled = True
            yield refusal
            return


async def _answer_events(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> AsyncGenerator[AnswerEvent | Refused, None]:
    """Yield one attempt's events, or those of the version it escalates to."""
    if request.stream:
        events = _streamed_events(request, progress, entry, version, endpoint)
        async with aclosing(events):
            async for event in events:
                yield event
        return
    whole = await whole_answer(request, progress, entry, version, endpoint)
    if isinstance(whole, Refused):
        yield whole
        return
    signal = signal_of(whole.head, whole.end)
    learn_from(request, entry, whole.end, signal, whole.pieces, progress.is_trial)
    if _escalates(request, progress, entry, whole, signal):
        better = await _escalated(request, progress, entry, whole, signal)
        whole = better or whole
    yield whole.head
    for piece in whole.pieces:
        yield piece
    yield whole.end


async def _streamed_events(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> AsyncGenerator[AnswerEvent | Refused, None]:
    """Relay a stream, without a second head where one is resumed."""
    is_resumed = progress.is_begun
    head: AnswerHead | None = None
    pieces: list[AnswerPiece] = []
    events = try_endpoint(request, progress, entry, version, endpoint)
    async with aclosing(events):
        async for event in events:
            match event:
                case AnswerHead():
                    head = event
                    if is_resumed:
                        continue
                case AnswerPiece():
                    pieces.append(event)
                case AnswerEnd() if head is not None and not is_resumed:
                    learn_from(
                        request, entry, event, signal_of(head, event), pieces, False
                    )
            yield event


def _escalates(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    whole: WholeAnswer,
    signal: float,
) -> bool:
    """Say whether to ask a better version, if the time left allows it."""
    decision = progress.decision
    if decision is None or request.non_idempotent or progress.step > 0:
        return False
    left_s = request.deadline_at_s - asyncio.get_running_loop().time()
    has_time = left_s > whole.end.service_s
    return should_escalate(decision, signal, entry.rng, has_time)


async def _escalated(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    first: WholeAnswer,
    signal: float,
) -> WholeAnswer | None:
    """Ask the next version on the ladder; None leaves the answer at hand."""
    progress.step += 1
    entry.metrics.escalations.inc({"api": request.api.name})
    chosen = choose(request, progress, entry)
    if isinstance(chosen, Refusal):
        return None
    whole = await whole_answer(request, progress, entry, *chosen)
    if isinstance(whole, Refused):
        return None
    learn_from_second(request, entry, first, signal, whole)
    return whole


def _after_refused(
    refused: Refused,
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    endpoint: Instance,
) -> Refusal | None:
    """Take note of a failed attempt; a Refusal means that it was the last."""
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
        entry.router.lacks(endpoint, progress.version)
        if not progress.is_begun and request.explicit is None:
            # Another version may serve meanwhile, as if this one had not been tried.
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
