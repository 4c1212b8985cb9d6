"""Tests of the background tasks of a daemon."""

import asyncio

import pytest

from acaciacove.daemon.background import background
from tests.virtual import run_virtual


def test_task_that_swallows_cancellations_is_cancelled_until_it_ends():
    """A daemon is stopped while one of its tasks calls a platform service. The HTTP
    library turns the cancellation into an error of the call, and the task retries
    later as if the service were unavailable. If it were cancelled only once, it would
    run forever and the process would not exit.
    """

    async def swallow_cancellations(swallowed):
        while True:
            try:
                await asyncio.sleep(0.5)
            except asyncio.CancelledError:
                if len(swallowed) == 2:
                    raise
                swallowed.append("unavailable")

    async def main():
        swallowed = []
        async with background(swallow_cancellations(swallowed)):
            await asyncio.sleep(1.2)
        assert len(swallowed) == 2
        others = asyncio.all_tasks() - {asyncio.current_task()}
        assert all(
            task.done() or "swallow_cancellations" not in repr(task) for task in others
        )

    run_virtual(main, timeout_s=30.0)


def test_exception_in_a_task_ends_the_block():
    async def faulty():
        await asyncio.sleep(0.1)
        raise ValueError("broken")

    async def main():
        with pytest.raises(ValueError, match="broken"):
            async with background(faulty()):
                await asyncio.sleep(60.0)

    run_virtual(main, timeout_s=30.0)
