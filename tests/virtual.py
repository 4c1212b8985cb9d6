"""Runs coroutines of tests on an event loop with a virtual clock."""

import async_solipsism


def run_virtual(main, timeout_s=100_000.0):
    """Run a coroutine function until it returns; its sleeps take no real time."""
    import asyncio

    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(asyncio.wait_for(main(), timeout_s))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
