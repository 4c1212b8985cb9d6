"""One loop for each scenario; a fleet lives and dies with it."""

import asyncio
import logging
import sys
from threading import Thread

from loguru import logger

# No step takes more than some seconds, also on a busy machine.
STEP_LIMIT_S = 60.0

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
        """Run a step; one that does not end shows what every task waits for."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return future.result(STEP_LIMIT_S)
        except TimeoutError:
            for task in asyncio.all_tasks(self._loop):
                task.print_stack(file=sys.stdout)
            raise

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
