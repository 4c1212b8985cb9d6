"""One attempt at one endpoint, from its Run message to the last chunk."""

import asyncio
from collections.abc import AsyncGenerator

from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.attempt import Attempt
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.messages.chunk import Chunk
from acaciacove.messages.end import End
from acaciacove.messages.head import Head
from acaciacove.messages.load import Load
from acaciacove.messages.refused import Refused
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.state.billing_price import price

# The sidecar applies the same deadline and knows more about the outcome of a call, so
# the entry waits a little past the deadline for the sidecar's reply.
DEADLINE_GRACE_S = 0.25


async def try_endpoint(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> AsyncGenerator[AnswerEvent | Refused, None]:
    """Yield an attempt's events; the last is an AnswerEnd or a Refused."""
    progress.attempts += 1
    entry.metrics.attempts.inc({"endpoint": endpoint.name})
    remaining_s = request.deadline_at_s - asyncio.get_running_loop().time()
    run = _build_run(request, progress, entry, version, endpoint, remaining_s)
    link = entry.link_to(endpoint)
    attempt = await link.start_attempt(run)
    if isinstance(attempt, Refused):
        entry.shared.connection_lost(endpoint.name)
        yield attempt
        return
    entry.router.sent(endpoint, request)
    progress.attempted_endpoints.append(endpoint.name)
    load: Load | None = None
    # An attempt that is cancelled before its end is no evidence against its endpoint:
    # the caller has disconnected, or a hedged attempt was faster.
    ok = True
    expected_sequence = 0
    deadline_at_s = request.deadline_at_s + DEADLINE_GRACE_S
    try:
        while True:
            event = await _next_event(attempt, deadline_at_s, expected_sequence)
            match event:
                case Head():
                    yield AnswerHead(
                        event.status, event.headers, version.id, endpoint.name
                    )
                case Chunk():
                    expected_sequence += 1
                    if request.stream:
                        progress.delivered_tokens += event.tokens
                        progress.delivered_bytes += len(event.data)
                    yield AnswerChunk(event.data)
                case End():
                    load = event.load
                    entry.shared.record_message(link.peer)
                    entry.pull_if_behind(link, event.revision)
                    yield _answer_end(progress, version, endpoint, event)
                    return
                case Refused():
                    load = event.load
                    ok = event.not_run
                    entry.shared.record_refusal(link.peer, endpoint.name, event)
                    entry.pull_if_behind(link, event.revision)
                    yield event
                    return
    finally:
        entry.router.ended(endpoint, request, load, ok)
        link.end_attempt(attempt)


async def _next_event(
    attempt: Attempt, deadline_at_s: float, expected_sequence: int
) -> Head | Chunk | End | Refused:
    """Wait for the next event; return a Refused at a gap or at the deadline.

    The timeout covers only this wait. A timeout around the complete loop would also
    expire while the entry writes to a slow caller, and would truncate the caller's
    stream without an error.
    """
    try:
        async with asyncio.timeout_at(deadline_at_s):
            event = await attempt.next_event()
    except TimeoutError:
        detail = "the deadline passed while the endpoint was working"
        return _refused_may_have_run(attempt, Reason.DEADLINE_EXCEEDED, detail)
    if _has_gap(event, expected_sequence):
        return _refused_may_have_run(
            attempt,
            Reason.ANSWER_TRUNCATED,
            "pieces are missing",
        )
    return event


def _has_gap(event: Head | Chunk | End | Refused, expected_sequence: int) -> bool:
    """Return whether chunks are missing before this event.

    Otherwise a sidecar that restarts or mixes up its streams could deliver part of an
    answer as a complete one, and the caller could not detect it.
    """
    if isinstance(event, Chunk):
        return event.sequence != expected_sequence
    return isinstance(event, End) and event.chunks != expected_sequence


def _refused_may_have_run(attempt: Attempt, reason: Reason, detail: str) -> Refused:
    """Return the Refused of an attempt that may have run."""
    return Refused(attempt.request_id, attempt.number, reason, False, detail)


def _answer_end(
    progress: Progress, version: Version, endpoint: Instance, end: End
) -> AnswerEnd:
    progress.cost += price(version, end.prompt_tokens, end.completion_tokens)
    return AnswerEnd(
        version=version.id,
        endpoint=endpoint.name,
        prompt_tokens=end.prompt_tokens,
        completion_tokens=end.completion_tokens,
        cost=progress.cost,
        finish_reason=end.finish_reason,
        service_s=end.service_s,
    )


def _build_run(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
    remaining_s: float,
) -> Run:
    """Build the message that requests this attempt from a sidecar."""
    return Run(
        request_id=request.request_id,
        attempt=progress.attempts,
        revision=entry.fleet_store.state.revision,
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
        billed=entry.billing.take_confirmations(endpoint.name),
    )
