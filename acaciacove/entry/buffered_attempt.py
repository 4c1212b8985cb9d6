"""Attempts whose answer is buffered until it is complete, with hedging."""

import asyncio
from contextlib import aclosing

from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.hedging import should_hedge
from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.choose_route import choose_route
from acaciacove.entry.complete_answer import CompleteAnswer
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.entry.try_endpoint import try_endpoint
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.messages.refused import Refused
from acaciacove.refusal import Refusal

AnswerTask = asyncio.Task[CompleteAnswer | Refused]


async def request_answer(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> CompleteAnswer | Refused:
    """Request an answer, from a second endpoint too if the first is unusually slow."""
    delay_s = entry.hedge_delays.delay_s(request.request_class)
    if delay_s is None or request.non_idempotent:
        return await _buffer_answer(request, progress, entry, version, endpoint)
    first = asyncio.create_task(
        _buffer_answer(request, progress, entry, version, endpoint)
    )
    try:
        done, _ = await asyncio.wait({first}, timeout=delay_s)
        if done or not _may_hedge(request, entry, delay_s):
            return await first
        return await _run_hedged(request, progress, entry, endpoint, first)
    finally:
        first.cancel()


async def _run_hedged(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    endpoint: Instance,
    first: AnswerTask,
) -> CompleteAnswer | Refused:
    """Send a second attempt elsewhere and return the first complete answer."""
    progress.failed_endpoints.add(endpoint.name)
    chosen = choose_route(request, progress, entry)
    if isinstance(chosen, Refusal):
        return await first
    log_event("hedge", request_id=request.request_id, slow_endpoint=endpoint.name)
    second = asyncio.create_task(_buffer_answer(request, progress, entry, *chosen))
    try:
        done, pending = await asyncio.wait(
            {first, second}, return_when=asyncio.FIRST_COMPLETED
        )
        finished = first if first in done else second
        if isinstance(finished.result(), CompleteAnswer) or not pending:
            return finished.result()
        return await pending.pop()
    finally:
        second.cancel()


def _may_hedge(request: CallerRequest, entry: EntryState, delay_s: float) -> bool:
    """Return whether deadline and hedge budget allow a second attempt."""
    remaining_s = request.deadline_at_s - asyncio.get_running_loop().time()
    return should_hedge(delay_s, delay_s, True, remaining_s, entry.hedges)


async def _buffer_answer(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> CompleteAnswer | Refused:
    """Buffer an answer until it is complete.

    An attempt that fails midway can then be repeated on another endpoint, and no part
    of the failed one reaches the caller.
    """
    head: AnswerHead | None = None
    chunks: list[AnswerChunk] = []
    started_s = asyncio.get_running_loop().time()
    events = try_endpoint(request, progress, entry, version, endpoint)
    async with aclosing(events):
        async for event in events:
            match event:
                case AnswerHead():
                    head = event
                case AnswerChunk():
                    chunks.append(event)
                case AnswerEnd() if head is not None:
                    elapsed_s = asyncio.get_running_loop().time() - started_s
                    entry.hedge_delays.record(request.request_class, elapsed_s)
                    return CompleteAnswer(head, tuple(chunks), event)
                case Refused():
                    return event
    raise AssertionError("attempt events ended without AnswerEnd or Refused")
