"""Brings a stale sidecar up to the revision of the entry before it decides."""

import asyncio
from collections.abc import Awaitable, Callable

from acaciacove.messages.message import Message
from acaciacove.messages.run import Run
from acaciacove.state.fleet_store import FleetStore

MAX_CATCH_UP_S = 0.5
POLL_INTERVAL_S = 0.005


async def catch_up(
    run: Run, fleet_store: FleetStore, send: Callable[[Message], Awaitable[None]]
) -> None:
    """Request the missing records from the entry and wait briefly for them.

    A sidecar that was paused or partitioned would otherwise decide on stale state.
    If the records do not arrive in time, the gate refuses the attempt as not run.
    """
    pull = fleet_store.pull_if_behind(run.revision)
    if pull is None:
        return
    await send(pull)
    loop = asyncio.get_running_loop()
    deadline_at_s = loop.time() + min(MAX_CATCH_UP_S, run.deadline_s)
    while fleet_store.revision < run.revision and loop.time() < deadline_at_s:
        await asyncio.sleep(POLL_INTERVAL_S)
