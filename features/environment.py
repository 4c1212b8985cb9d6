"""One loop for each scenario; a fleet lives and dies with it."""

import asyncio
import logging

from loguru import logger

logger.remove()
logging.getLogger("transitions").setLevel(logging.WARNING)


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.fleet = None
    context.answers = []


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.runner.run(context.fleet.stop())
    context.runner.close()
