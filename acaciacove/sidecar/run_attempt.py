"""Runs one attempt: catch up, check, wait for a place, ask the endpoint."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing

from acaciacove.adapters.engine_call import EngineCall
from acaciacove.adapters.engine_chunk import EngineChunk
from acaciacove.adapters.engine_finish import EngineFinish
from acaciacove.adapters.engine_head import EngineHead
from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.daemon.decision_log import log_event
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.version_id import parse_version_id
from acaciacove.messages.chunk import Chunk
from acaciacove.messages.end import End
from acaciacove.messages.head import Head
from acaciacove.messages.message import Message
from acaciacove.messages.refused import Refused
from acaciacove.messages.run import Run
from acaciacove.refusal import Refusal
from acaciacove.sidecar.attempt_outcome import AttemptOutcome
from acaciacove.sidecar.catch_up import catch_up
from acaciacove.sidecar.claimed_call import call_once, call_timed
from acaciacove.sidecar.gate import refuse_run
from acaciacove.sidecar.hold_bill import hold_bill
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.sidecar.ticket import Ticket

Send = Callable[[Message], Awaitable[None]]

INTERACTIVE_PRIORITY = 0
BATCH_PRIORITY = 10
MAX_CHUNK_BYTES = 2**20
OK = 200


async def run_attempt(run: Run, entry: str, sidecar: SidecarState, send: Send) -> None:
    """Answer an attempt of an entry with Head, Chunks and End, or with a Refused."""
    sidecar.billing.confirm(run.billed)
    await catch_up(run, sidecar.holder, send)
    refusal = refuse_run(run, sidecar.gate_view())
    if refusal is not None:
        await _refuse(run, sidecar, refusal, send)
        return
    ticket = await sidecar.admission.enter(run, _weight(run, sidecar))
    if isinstance(ticket, Refusal):
        await _refuse(run, sidecar, ticket, send)
        return
    outcome: Refusal | None = None
    completed = False
    version = parse_version_id(run.version)
    assert version is not None
    sidecar.running[version] += 1
    try:
        # What was in force may have changed while the attempt waited in the queue.
        # A withdrawn version would otherwise get work that is chosen afterwards.
        outcome = refuse_run(run, sidecar.gate_view())
        if outcome is None:
            outcome = await _answer(run, entry, sidecar, ticket, send)
        completed = outcome is None
        if outcome is None or not outcome.not_run:
            hold_bill(run, entry, sidecar, ticket, completed)
            sidecar.evidence.count(ticket, sidecar.holder.state, completed)
        if completed:
            sidecar.metrics.count_answer(run.version, ticket.tokens)
    finally:
        sidecar.running[version] -= 1
        sidecar.admission.leave(ticket, _told(ticket, outcome, completed))
    if outcome is not None:
        await _refuse(run, sidecar, outcome, send)


def _told(ticket: Ticket, outcome: Refusal | None, completed: bool) -> AttemptOutcome:
    """Return what an attempt tells of its endpoint."""
    if not ticket.asked:
        return AttemptOutcome.UNTOLD
    if completed:
        return AttemptOutcome.COMPLETED
    if outcome is None or outcome.not_run:
        return AttemptOutcome.UNTOLD
    return AttemptOutcome.FAILED


def _weight(run: Run, sidecar: SidecarState) -> float:
    """Return the organisation's share; the gate has checked that it is known."""
    return sidecar.holder.state.organisations[run.organisation].weight


async def _answer(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, send: Send
) -> Refusal | None:
    """Ask the endpoint; None once the whole answer was sent."""
    api = sidecar.holder.state.apis[run.api]
    if api.kind is ApiKind.MODEL:
        return await _ask_engine(run, sidecar, ticket, send)
    return await _ask_service(run, entry, sidecar, ticket, send)


async def _ask_engine(
    run: Run, sidecar: SidecarState, ticket: Ticket, send: Send
) -> Refusal | None:
    """Relay an engine's answer as it is generated."""
    loop = asyncio.get_running_loop()
    chunks = 0
    head = EngineHead(OK)
    ticket.asked = True
    call = _engine_call(run, ticket.remaining_s(loop.time()))
    async with aclosing(sidecar.engine.generate(call)) as events:
        async for event in events:
            match event:
                case EngineHead():
                    # Sent along with the first piece: a write and a wake-up less.
                    head = event
                case EngineChunk():
                    ticket.last_piece_at_s = loop.time()
                    if chunks == 0:
                        await send(_head(run, head))
                        passed_s = ticket.last_piece_at_s - ticket.admitted_at_s
                        ticket.first_piece_s = passed_s
                    ticket.tokens += event.tokens
                    chunk = Chunk(
                        run.request_id, run.attempt, chunks, event.data, event.tokens
                    )
                    await send(chunk)
                    chunks += 1
                case EngineFinish():
                    if chunks == 0:
                        await send(_head(run, head))
                    ticket.tokens = max(ticket.tokens, event.completion_tokens)
                    ticket.prompt_tokens = event.prompt_tokens
                    await send(_end(run, sidecar, ticket, chunks, event))
                    return None
                case Refusal():
                    return event
    raise AssertionError("an engine's events end with a finish or a refusal")


def _head(run: Run, head: EngineHead) -> Head:
    return Head(run.request_id, run.attempt, head.status, head.headers)


def _engine_call(run: Run, timeout_s: float) -> EngineCall:
    return EngineCall(
        request_id=run.request_id,
        version=run.version,
        body=run.body,
        stream=run.stream,
        priority=BATCH_PRIORITY if run.batch else INTERACTIVE_PRIORITY,
        resume_from_tokens=run.received_tokens,
        timeout_s=timeout_s,
    )


async def _ask_service(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, send: Send
) -> Refusal | None:
    """Make one call of the plain service and send its whole answer."""
    api = sidecar.holder.state.apis[run.api]
    call = ServiceCall(
        request_id=run.request_id,
        method=run.method,
        path=run.path,
        headers=run.headers,
        body=run.body,
        may_repeat=api.may_repeat(run.method, run.path),
        echo_wanted=api.echoes_request_id,
        timeout_s=ticket.remaining_s(asyncio.get_running_loop().time()),
    )
    if call.may_repeat:
        answer = await call_timed(sidecar, ticket, call)
    else:
        answer = await call_once(run, entry, sidecar, ticket, call)
    if isinstance(answer, Refusal):
        return answer
    await send_answer(run, sidecar, ticket, answer, send)
    return None


async def send_answer(
    run: Run, sidecar: SidecarState, ticket: Ticket, answer: ServiceAnswer, send: Send
) -> None:
    """Send a service's answer in pieces that fit a frame."""
    await send(Head(run.request_id, run.attempt, answer.status, answer.headers))
    starts = range(0, len(answer.body), MAX_CHUNK_BYTES)
    for sequence, start in enumerate(starts):
        data = answer.body[start : start + MAX_CHUNK_BYTES]
        await send(Chunk(run.request_id, run.attempt, sequence, data))
    await send(_end(run, sidecar, ticket, len(starts), EngineFinish()))


def _end(
    run: Run, sidecar: SidecarState, ticket: Ticket, chunks: int, finish: EngineFinish
) -> End:
    """Write the end of an answer with what it took."""
    now_s = asyncio.get_running_loop().time()
    return End(
        request_id=run.request_id,
        attempt=run.attempt,
        chunks=chunks,
        prompt_tokens=finish.prompt_tokens,
        completion_tokens=finish.completion_tokens,
        cached_tokens=finish.cached_tokens,
        service_s=now_s - ticket.admitted_at_s,
        finish_reason=finish.finish_reason,
        revision=sidecar.holder.state.revision,
        load=sidecar.admission.load(),
    )


async def _refuse(
    run: Run, sidecar: SidecarState, refusal: Refusal, send: Send
) -> None:
    """Tell the entry why there is no answer."""
    sidecar.metrics.count_refusal(refusal)
    log_event(
        "refuse",
        request_id=run.request_id,
        attempt=run.attempt,
        organisation=run.organisation,
        version=run.version,
        reason=refusal.reason,
        not_run=refusal.not_run,
        detail=refusal.detail,
        revision=sidecar.holder.state.revision,
    )
    refused = Refused(
        request_id=run.request_id,
        attempt=run.attempt,
        reason=refusal.reason,
        not_run=refusal.not_run,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        revision=sidecar.holder.state.revision,
        load=sidecar.admission.load(),
    )
    await send(refused)
