"""Event that is set by SIGTERM and SIGINT."""

import asyncio
import signal


def stop_on_signals() -> asyncio.Event:
    """Return an event that is set by the first SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop
