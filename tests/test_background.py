"""Background tasks of a daemon end with it."""

import asyncio

import pytest

from acaciacove.daemon.background import background
from tests.virtual import run_virtual


def test_a_task_that_takes_its_cancellation_for_a_lost_call_ends_all_the_same():
    """A daemon is told to stop while a task of its own asks a platform service. The
    HTTP library turns the cancellation into an error of the call; the task takes the
    service for unavailable and looks again later. Cancelled only once, it would run
    for ever, and the operator would see a process that does not end.
    """

    async def stubborn(swallowed):
        while True:
            try:
                await asyncio.sleep(0.5)
            except asyncio.CancelledError:
                if len(swallowed) == 2:
                    raise
                swallowed.append("unavailable")

    async def main():
        swallowed = []
        async with background(stubborn(swallowed)):
            await asyncio.sleep(1.2)
        assert len(swallowed) == 2
        others = asyncio.all_tasks() - {asyncio.current_task()}
        assert all(task.done() or "stubborn" not in repr(task) for task in others)

    run_virtual(main, timeout_s=30.0)


def test_a_fault_of_a_task_ends_the_block_with_it():
    async def faulty():
        await asyncio.sleep(0.1)
        raise ValueError("broken")

    async def main():
        with pytest.raises(ValueError, match="broken"):
            async with background(faulty()):
                await asyncio.sleep(60.0)

    run_virtual(main, timeout_s=30.0)
