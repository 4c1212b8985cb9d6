"""Processes that a measurement starts, and ends by their own handle."""

import asyncio
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

STOP_LIMIT_S = 10.0


@asynccontextmanager
async def child(*arguments: str) -> AsyncIterator[Process]:
    """Run ``python -m ...`` while the block runs; its log lines are dropped.

    The bench starts real processes so that they do not share one interpreter;
    the daemons themselves start none.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, stdin=PIPE, stdout=PIPE, stderr=DEVNULL
    )
    try:
        yield process
    finally:
        await _stop(process)


async def _stop(process: Process) -> None:
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(STOP_LIMIT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
