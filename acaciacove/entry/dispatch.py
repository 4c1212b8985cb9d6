"""The way of one request: choose, attempt, and go on elsewhere when allowed."""

import asyncio
from collections.abc import AsyncIterator

from acaciacove.daemon.decision_log import log_event
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_piece import AnswerPiece
from acaciacove.entry.attempt import Attempt
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.entry.retry_rule import as_refusal, final_refusal
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.messages.chunk import Chunk
from acaciacove.messages.end import End
from acaciacove.messages.head import Head
from acaciacove.messages.refused import Refused
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

MAX_ATTEMPTS = 6
TOKENS_PER_PRICE = 1000.0


async def dispatch(
    request: CallerRequest, entry: EntryState
) -> AsyncIterator[AnswerEvent]:
    """Yield the events of an answer; the last is an AnswerEnd or a Refusal."""
    progress = Progress()
    while True:
        chosen = _choose(request, progress, entry)
        if isinstance(chosen, Refusal):
            yield chosen
            return
        version, endpoint = chosen
        refused: Refused | None = None
        async for event in _attempt(request, progress, entry, version, endpoint):
            if isinstance(event, Refused):
                refused = event
                break
            yield event
        if refused is None:
            return
        refusal = _after_refused(refused, request, progress, entry, endpoint)
        if refusal is not None:
            yield refusal
            return


def _choose(
    request: CallerRequest, progress: Progress, entry: EntryState
) -> tuple[Version, Instance] | Refusal:
    """Choose version and endpoint for the next attempt, and log why."""
    fleet = entry.holder.state
    version = entry.router.choose_version(fleet, request, progress)
    if isinstance(version, Refusal):
        return _logged_refusal(request, version)
    endpoint = entry.router.choose_endpoint(fleet, version, progress)
    if isinstance(endpoint, Refusal):
        return _logged_refusal(request, endpoint)
    log_event(
        "route",
        request_id=request.request_id,
        organisation=request.organisation.name,
        api=request.api.name,
        attempt=progress.attempts + 1,
        version=str(version.id),
        endpoint=endpoint.name,
        availability_zone=endpoint.availability_zone,
        revision=fleet.revision,
    )
    return version, endpoint


def _logged_refusal(request: CallerRequest, refusal: Refusal) -> Refusal:
    log_event(
        "refuse",
        request_id=request.request_id,
        organisation=request.organisation.name,
        reason=refusal.reason,
        not_run=refusal.not_run,
        detail=refusal.detail,
    )
    return refusal


async def _attempt(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> AsyncIterator[AnswerEvent | Refused]:
    """Make one attempt; yields a Refused if it did not end well."""
    progress.attempts += 1
    progress.version = version.id
    remaining_s = request.deadline_at_s - asyncio.get_running_loop().time()
    run = _run_message(request, progress, entry, version, remaining_s)
    link = entry.link_to(endpoint)
    attempt = await link.start(run)
    if isinstance(attempt, Refused):
        yield attempt
        return
    entry.router.started(endpoint.name)
    try:
        async with asyncio.timeout(remaining_s):
            relayed = _relay(request, progress, attempt, version, endpoint)
            async for event in relayed if request.stream else _held_back(relayed):
                yield event
    except TimeoutError:
        detail = "the deadline passed while the endpoint was working"
        yield _refused(run, Reason.DEADLINE_EXCEEDED, detail)
    finally:
        entry.router.finished(endpoint.name)
        link.finish(attempt)


async def _held_back(
    events: AsyncIterator[AnswerEvent | Refused],
) -> AsyncIterator[AnswerEvent | Refused]:
    """Keep an answer that is not streamed until it is whole.

    An attempt that fails half-way can then be repeated elsewhere without a trace of
    the first one in the caller's answer.
    """
    held: list[AnswerEvent | Refused] = []
    async for event in events:
        if isinstance(event, Refused):
            yield event
            return
        held.append(event)
    for event in held:
        yield event


async def _relay(
    request: CallerRequest,
    progress: Progress,
    attempt: Attempt,
    version: Version,
    endpoint: Instance,
) -> AsyncIterator[AnswerEvent | Refused]:
    """Pass an attempt's events on, checking that no piece is missing."""
    expected_sequence = 0
    while True:
        event = await attempt.next_event()
        match event:
            case Head():
                if not (request.stream and progress.is_begun):
                    yield AnswerHead(
                        event.status, event.headers, version.id, endpoint.name
                    )
            case Chunk():
                if event.sequence != expected_sequence:
                    yield _refused_piece(event)
                    return
                expected_sequence += 1
                if request.stream:
                    progress.delivered_tokens += event.tokens
                    progress.delivered_bytes += len(event.data)
                yield AnswerPiece(event.data)
            case End():
                if event.chunks != expected_sequence:
                    yield _refused_piece(event)
                    return
                cost = _cost(request, version, event)
                progress.cost += cost
                yield AnswerEnd(
                    version.id,
                    endpoint.name,
                    event.prompt_tokens,
                    event.completion_tokens,
                    progress.cost,
                )
                return
            case Refused():
                yield event
                return


def _refused_piece(event: Chunk | End) -> Refused:
    """Refuse an answer with a gap.

    A sidecar that restarts or crosses its streams would otherwise deliver half of
    an answer as a whole one, which the caller cannot notice.
    """
    return Refused(
        event.request_id,
        event.attempt,
        Reason.ANSWER_TRUNCATED,
        False,
        "pieces of the answer are missing",
    )


def _refused(run: Run, reason: Reason, detail: str) -> Refused:
    return Refused(run.request_id, run.attempt, reason, False, detail)


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
        endpoint=endpoint.name,
        reason=refused.reason,
        not_run=refused.not_run,
        detail=refused.detail,
    )
    progress.may_have_run |= not refused.not_run
    progress.failed_endpoints.add(endpoint.name)
    final = final_refusal(refused, request, progress)
    if final is not None:
        return final
    if progress.attempts >= MAX_ATTEMPTS:
        return as_refusal(refused, progress)
    return None


def _run_message(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    remaining_s: float,
) -> Run:
    """Write the message that asks a sidecar for this attempt."""
    return Run(
        request_id=request.request_id,
        attempt=progress.attempts,
        revision=entry.holder.state.revision,
        organisation=request.organisation.name,
        api=request.api.name,
        version=str(version.id),
        session=request.session,
        idempotency_key=request.idempotency_key,
        deadline_s=remaining_s,
        stream=request.stream,
        non_idempotent=request.non_idempotent,
        batch=request.batch,
        estimated_tokens=request.estimated_tokens,
        request_class=request.request_class,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        received_tokens=progress.delivered_tokens,
    )


def _cost(request: CallerRequest, version: Version, end: End) -> float:
    """Price an answer: by tokens for models, by call for services."""
    if end.completion_tokens == 0 and end.prompt_tokens == 0:
        return version.cost_per_1k_tokens
    tokens = end.prompt_tokens + end.completion_tokens
    return version.cost_per_1k_tokens * tokens / TOKENS_PER_PRICE
