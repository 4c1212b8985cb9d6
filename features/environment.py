"""One loop for each scenario; a fleet lives and dies with it."""

import asyncio
import logging
from threading import Thread

from loguru import logger

logger.remove()
logging.getLogger("transitions").setLevel(logging.WARNING)


class LoopThread:
    """Runs coroutines of steps in one loop, which never stops between steps.

    A loop that stood still between two steps would look to every process in it like
    a pause of its machine, after which it rightly refuses to decide for a moment.
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


def before_scenario(context, scenario):
    context.runner = LoopThread()
    context.fleet = None
    context.answers = []


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.runner.run(context.fleet.stop())
    context.runner.close()
