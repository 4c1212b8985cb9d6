"""The way of one request: choose, attempt, and go on elsewhere when allowed."""

import asyncio
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing

from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.answer_signal import AnswerSignal
from acaciacove.decisions.cascade import should_escalate
from acaciacove.decisions.decision import Decision
from acaciacove.decisions.rated_class import RatedClass, signal_bin
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_piece import AnswerPiece
from acaciacove.entry.bill_request import bill_request
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.entry.retry_rule import as_refusal, final_refusal
from acaciacove.entry.try_endpoint import try_endpoint
from acaciacove.entry.whole_answer import WholeAnswer
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.messages.refused import Refused
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

MAX_ATTEMPTS = 8
RETRY_LATER_S = 1.0


async def dispatch(
    request: CallerRequest, entry: EntryState
) -> AsyncGenerator[AnswerEvent, None]:
    """Yield the events of an answer; the last is an AnswerEnd or a Refusal.

    The request is billed however this ends, also when the caller leaves half-way.
    """
    progress = Progress()
    entry.retries.earn()
    end: AnswerEnd | None = None
    events = _all_attempts(request, progress, entry)
    try:
        async with aclosing(events):
            async for event in events:
                if isinstance(event, AnswerEnd):
                    end = event
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
        chosen = _choose(request, progress, entry)
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
    whole = await _whole_answer(request, progress, entry, version, endpoint)
    if isinstance(whole, Refused):
        yield whole
        return
    signal = _signal(whole.head, whole.end)
    _learn(request, entry, whole.end, signal, whole.pieces, _explored(progress))
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
                    _learn(request, entry, event, _signal(head, event), pieces, False)
            yield event


def _signal(head: AnswerHead, end: AnswerEnd) -> float:
    """Sum up how good an answer looks before anyone has rated it."""
    return AnswerSignal(
        status=head.status,
        finish_reason=end.finish_reason,
        completion_tokens=end.completion_tokens,
    ).value()


def _explored(progress: Progress) -> bool:
    return progress.decision is not None and progress.decision.always_escalates


def _learn(
    request: CallerRequest,
    entry: EntryState,
    end: AnswerEnd,
    signal: float,
    pieces: Sequence[AnswerPiece],
    explored: bool,
) -> None:
    """Count a first answer by its signal, and have a sample of them rated."""
    if request.api.kind is not ApiKind.MODEL:
        return
    bin_ = signal_bin(signal)
    entry.router.estimates.record_answer(end.version, request.request_class, bin_)
    rated_class = str(RatedClass(request.request_class, signal_bin=bin_))
    answer = b"".join(piece.data for piece in pieces)
    entry.rater.offer(request.request_id, end.version, rated_class, answer, explored)


async def _whole_answer(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> WholeAnswer | Refused:
    """Hold an answer back until it is whole.

    An attempt that fails half-way can then be repeated elsewhere without a trace of
    the first one in the caller's answer.
    """
    head: AnswerHead | None = None
    pieces: list[AnswerPiece] = []
    events = try_endpoint(request, progress, entry, version, endpoint)
    async with aclosing(events):
        async for event in events:
            match event:
                case AnswerHead():
                    head = event
                case AnswerPiece():
                    pieces.append(event)
                case AnswerEnd() if head is not None:
                    return WholeAnswer(head, tuple(pieces), event)
                case Refused():
                    return event
    raise AssertionError("an attempt ends with AnswerEnd or Refused")


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
    chosen = _choose(request, progress, entry)
    if isinstance(chosen, Refusal):
        return None
    whole = await _whole_answer(request, progress, entry, *chosen)
    if isinstance(whole, Refused):
        return None
    rated_class = RatedClass(
        request.request_class, str(first.end.version), signal_bin(signal)
    )
    answer = b"".join(piece.data for piece in whole.pieces)
    entry.rater.offer(request.request_id, whole.end.version, str(rated_class), answer)
    return whole


def _choose(
    request: CallerRequest, progress: Progress, entry: EntryState
) -> tuple[Version, Instance] | Refusal:
    """Choose version and endpoint for the next attempt, and log why."""
    fleet = entry.holder.state
    if progress.decision is None:
        decision = entry.router.choose_version(fleet, request)
        if isinstance(decision, Refusal):
            return _refused_choice(request, progress, entry, decision)
        _log_decision(request, progress, entry, decision.decision)
        progress.decision = decision
    version = progress.version
    assert version is not None
    if not fleet.is_usable(version):
        # A release note or the guard stopped the version between two attempts.
        # Another attempt would be new work on it.
        refusal = Refusal(Reason.VERSION_WITHDRAWN, True, str(version))
        return _refused_choice(request, progress, entry, refusal)
    chosen = entry.router.choose_endpoint(fleet, request, version, progress)
    if isinstance(chosen, Refusal):
        return _refused_choice(request, progress, entry, chosen)
    _log_decision(request, progress, entry, chosen.decision)
    return fleet.versions[version], chosen.endpoint


def _refused_choice(
    request: CallerRequest, progress: Progress, entry: EntryState, refusal: Refusal
) -> Refusal:
    """Log a request that has nowhere to go; "not run" holds for all attempts.

    Where attempts were made, what the last one met tells a caller more than that
    no endpoint is left.
    """
    if progress.last_refused is not None:
        refusal = as_refusal(progress.last_refused, progress)
    truthful = Refusal(
        refusal.reason,
        refusal.not_run and not progress.may_have_run,
        refusal.detail,
        refusal.retry_after_s or RETRY_LATER_S,
    )
    entry.metrics.count_refusal(truthful)
    log_event(
        "refuse",
        request_id=request.request_id,
        organisation=request.organisation.name,
        api=request.api.name,
        reason=truthful.reason,
        not_run=truthful.not_run,
        detail=truthful.detail,
        revision=entry.holder.state.revision,
    )
    return truthful


def _log_decision(
    request: CallerRequest, progress: Progress, entry: EntryState, decision: Decision
) -> None:
    """Write the one line that says what was chosen and why the others lost."""
    log_event(
        decision.kind,
        request_id=request.request_id,
        organisation=request.organisation.name,
        api=request.api.name,
        request_class=request.request_class,
        attempt=progress.attempts + 1,
        chosen=decision.chosen,
        why=decision.why,
        lost={c.name: c.lost for c in decision.candidates if c.lost},
        revision=entry.holder.state.revision,
    )


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
