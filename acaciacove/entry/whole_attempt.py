"""Attempts at answers that the caller gets in one piece."""

import asyncio
from contextlib import aclosing

from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.hedging import should_hedge
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_piece import AnswerPiece
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.choose import choose
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.entry.try_endpoint import try_endpoint
from acaciacove.entry.whole_answer import WholeAnswer
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.messages.refused import Refused
from acaciacove.refusal import Refusal

WholeAttempt = asyncio.Task[WholeAnswer | Refused]


async def whole_answer(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: Version,
    endpoint: Instance,
) -> WholeAnswer | Refused:
    """Ask an endpoint, and a second one when the first is unusually slow."""
    delay_s = entry.hedge_delays.delay_s(request.request_class)
    if delay_s is None or request.non_idempotent:
        return await _attempt(request, progress, entry, version, endpoint)
    first = asyncio.create_task(_attempt(request, progress, entry, version, endpoint))
    try:
        done, _ = await asyncio.wait({first}, timeout=delay_s)
        if done or not _hedges(request, entry, delay_s):
            return await first
        return await _hedged(request, progress, entry, endpoint, first)
    finally:
        first.cancel()


async def _hedged(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    endpoint: Instance,
    first: WholeAttempt,
) -> WholeAnswer | Refused:
    """Send a second attempt elsewhere; the first whole answer of the two counts."""
    progress.failed_endpoints.add(endpoint.name)
    chosen = choose(request, progress, entry)
    if isinstance(chosen, Refusal):
        return await first
    log_event("hedge", request_id=request.request_id, slow_endpoint=endpoint.name)
    second = asyncio.create_task(_attempt(request, progress, entry, *chosen))
    try:
        done, waiting = await asyncio.wait(
            {first, second}, return_when=asyncio.FIRST_COMPLETED
        )
        sooner = first if first in done else second
        if isinstance(sooner.result(), WholeAnswer) or not waiting:
            return sooner.result()
        return await waiting.pop()
    finally:
        second.cancel()


def _hedges(request: CallerRequest, entry: EntryState, delay_s: float) -> bool:
    """Decide on a second attempt, which the budget has to allow."""
    left_s = request.deadline_at_s - asyncio.get_running_loop().time()
    return should_hedge(delay_s, delay_s, True, left_s, entry.hedges)


async def _attempt(
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
    started_s = asyncio.get_running_loop().time()
    events = try_endpoint(request, progress, entry, version, endpoint)
    async with aclosing(events):
        async for event in events:
            match event:
                case AnswerHead():
                    head = event
                case AnswerPiece():
                    pieces.append(event)
                case AnswerEnd() if head is not None:
                    passed_s = asyncio.get_running_loop().time() - started_s
                    entry.hedge_delays.record(request.request_class, passed_s)
                    return WholeAnswer(head, tuple(pieces), event)
                case Refused():
                    return event
    raise AssertionError("an attempt ends with AnswerEnd or Refused")
