"""Background tasks of a daemon that end with the block around them."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

# Time for a cancelled task to end before it is cancelled again.
CANCEL_RETRY_INTERVAL_S = 0.5


@asynccontextmanager
async def background(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run coroutines while the block runs; if one fails, end the block with its error.

    If a failed task went unnoticed, the daemon would still answer its probes but no
    longer follow the log. The exception ends the process instead.
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

    An HTTP library may turn a cancellation into an error of the current call. A
    task that continues after such errors swallows the cancellation. If it were
    cancelled only once, the daemon would never exit.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)
    await asyncio.gather(*tasks, return_exceptions=True)
