"""``acaciacove demo``: runs both example deployments in one process."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.no_settings import NoSettings


def run(settings: NoSettings, env: Environment) -> ExitStatus:
    """Run the demo, which sends requests and prints how each was routed."""
    from acaciacove.demo import run_demo

    return asyncio.run(run_demo(env))
