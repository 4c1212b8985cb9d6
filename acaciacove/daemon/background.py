"""Background tasks of a daemon, which end with the block around them."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

# How long a cancelled task may take to end before it is cancelled again.
CANCEL_RETRY_INTERVAL_S = 0.5


@asynccontextmanager
async def background(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run coroutines while the block runs; a fault in one ends the block with it.

    A task that dies unseen would leave a daemon that answers its probes but no
    longer follows the log. Its fault ends the process instead.
    """
    owner = asyncio.current_task()
    assert owner is not None
    faults: list[BaseException] = []

    def on_done(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (fault := task.exception()) is not None:
            faults.append(fault)
            owner.cancel()

    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    for task in tasks:
        task.add_done_callback(on_done)
    try:
        yield
    except asyncio.CancelledError:
        if faults:
            raise faults[0] from None
        raise
    finally:
        for task in tasks:
            task.remove_done_callback(on_done)
        await _cancel_until_done(tasks)


async def _cancel_until_done(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks until all have ended.

    An HTTP library may turn a cancellation into an error of the call under way. A
    task that goes on after such errors has then lost it, and one that is cancelled
    only once keeps its daemon from ever ending.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)
    await asyncio.gather(*tasks, return_exceptions=True)
