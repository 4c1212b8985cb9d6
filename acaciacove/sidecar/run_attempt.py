"""Runs one attempt: catch up, check, wait for admission, call the endpoint."""

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
from acaciacove.sidecar.claimed_call import call_at_most_once, timed_service_call
from acaciacove.sidecar.gate import refuse_run
from acaciacove.sidecar.hold_billing_copy import hold_billing_copy
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.sidecar.ticket import Ticket

Send = Callable[[Message], Awaitable[None]]

INTERACTIVE_PRIORITY = 0
BATCH_PRIORITY = 10
MAX_CHUNK_BYTES = 2**20
HTTP_OK = 200


async def run_attempt(run: Run, entry: str, sidecar: SidecarState, send: Send) -> None:
    """Answer an attempt with Head, Chunks and End, or with a Refused."""
    sidecar.billing.confirm(run.billed)
    await catch_up(run, sidecar.fleet_store, send)
    refusal = refuse_run(run, sidecar.gate_view())
    if refusal is not None:
        await _refuse(run, sidecar, refusal, send)
        return
    ticket = await sidecar.admission.admit(run, _weight(run, sidecar))
    if isinstance(ticket, Refusal):
        await _refuse(run, sidecar, ticket, send)
        return
    failure: Refusal | None = None
    completed = False
    version = parse_version_id(run.version)
    assert version is not None
    sidecar.running_by_version[version] += 1
    try:
        # The fleet state may have changed while the attempt waited in the queue.
        # Without this check, a version withdrawn meanwhile would get new work.
        failure = refuse_run(run, sidecar.gate_view())
        if failure is None:
            failure = await _call_endpoint(run, entry, sidecar, ticket, send)
        completed = failure is None
        if failure is None or not failure.not_run:
            hold_billing_copy(run, entry, sidecar, ticket, completed)
            sidecar.evidence.count(ticket, sidecar.fleet_store.state, completed)
        if completed:
            sidecar.metrics.count_answer(run.version, ticket.tokens)
    finally:
        sidecar.running_by_version[version] -= 1
        sidecar.admission.release(ticket, _attempt_outcome(ticket, failure, completed))
    if failure is not None:
        await _refuse(run, sidecar, failure, send)


def _attempt_outcome(
    ticket: Ticket, failure: Refusal | None, completed: bool
) -> AttemptOutcome:
    """Return what the end of an attempt says about its endpoint."""
    if not ticket.endpoint_called:
        return AttemptOutcome.INCONCLUSIVE
    if completed:
        return AttemptOutcome.COMPLETED
    if failure is None or failure.not_run:
        return AttemptOutcome.INCONCLUSIVE
    return AttemptOutcome.FAILED


def _weight(run: Run, sidecar: SidecarState) -> float:
    """Return the organisation's weight; the gate has checked that it exists."""
    return sidecar.fleet_store.state.organisations[run.organisation].weight


async def _call_endpoint(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, send: Send
) -> Refusal | None:
    """Call the endpoint; None once the complete answer has been sent."""
    api = sidecar.fleet_store.state.apis[run.api]
    if api.kind is ApiKind.MODEL:
        return await _call_engine(run, sidecar, ticket, send)
    return await _call_service(run, entry, sidecar, ticket, send)


async def _call_engine(
    run: Run, sidecar: SidecarState, ticket: Ticket, send: Send
) -> Refusal | None:
    """Stream an engine's answer to the entry while it is generated."""
    loop = asyncio.get_running_loop()
    chunks = 0
    head = EngineHead(HTTP_OK)
    ticket.endpoint_called = True
    call = _build_engine_call(run, ticket.remaining_s(loop.time()))
    async with aclosing(sidecar.engine.generate(call)) as events:
        async for event in events:
            match event:
                case EngineHead():
                    # Sent with the first chunk, which saves a write and a wake-up.
                    head = event
                case EngineChunk():
                    ticket.last_chunk_at_s = loop.time()
                    if chunks == 0:
                        await send(_build_head(run, head))
                        elapsed_s = ticket.last_chunk_at_s - ticket.admitted_at_s
                        ticket.first_chunk_s = elapsed_s
                    ticket.tokens += event.tokens
                    chunk = Chunk(
                        run.request_id, run.attempt, chunks, event.data, event.tokens
                    )
                    await send(chunk)
                    chunks += 1
                case EngineFinish():
                    if chunks == 0:
                        await send(_build_head(run, head))
                    ticket.tokens = max(ticket.tokens, event.completion_tokens)
                    ticket.prompt_tokens = event.prompt_tokens
                    await send(_build_end(run, sidecar, ticket, chunks, event))
                    return None
                case Refusal():
                    return event
    raise AssertionError(
        f"engine events of {run.request_id} ended without EngineFinish or Refusal"
    )


def _build_head(run: Run, head: EngineHead) -> Head:
    return Head(run.request_id, run.attempt, head.status, head.headers)


def _build_engine_call(run: Run, timeout_s: float) -> EngineCall:
    return EngineCall(
        request_id=run.request_id,
        version=run.version,
        body=run.body,
        stream=run.stream,
        priority=BATCH_PRIORITY if run.batch else INTERACTIVE_PRIORITY,
        resume_from_tokens=run.received_tokens,
        timeout_s=timeout_s,
    )


async def _call_service(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, send: Send
) -> Refusal | None:
    """Make one call of the plain service and send its complete answer."""
    api = sidecar.fleet_store.state.apis[run.api]
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
        answer = await timed_service_call(sidecar, ticket, call)
    else:
        answer = await call_at_most_once(run, entry, sidecar, ticket, call)
    if isinstance(answer, Refusal):
        return answer
    await send_service_answer(run, sidecar, ticket, answer, send)
    return None


async def send_service_answer(
    run: Run, sidecar: SidecarState, ticket: Ticket, answer: ServiceAnswer, send: Send
) -> None:
    """Send a service's answer in chunks that fit into a frame."""
    await send(Head(run.request_id, run.attempt, answer.status, answer.headers))
    chunk_offsets = range(0, len(answer.body), MAX_CHUNK_BYTES)
    for sequence, offset in enumerate(chunk_offsets):
        data = answer.body[offset : offset + MAX_CHUNK_BYTES]
        await send(Chunk(run.request_id, run.attempt, sequence, data))
    await send(_build_end(run, sidecar, ticket, len(chunk_offsets), EngineFinish()))


def _build_end(
    run: Run, sidecar: SidecarState, ticket: Ticket, chunks: int, finish: EngineFinish
) -> End:
    """Build the end of an answer with its token counts, time and load."""
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
        revision=sidecar.fleet_store.state.revision,
        load=sidecar.admission.load(),
    )


async def _refuse(
    run: Run, sidecar: SidecarState, refusal: Refusal, send: Send
) -> None:
    """Send the refusal to the entry; count and log it."""
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
        revision=sidecar.fleet_store.state.revision,
    )
    refused = Refused(
        request_id=run.request_id,
        attempt=run.attempt,
        reason=refusal.reason,
        not_run=refusal.not_run,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        revision=sidecar.fleet_store.state.revision,
        load=sidecar.admission.load(),
    )
    await send(refused)
