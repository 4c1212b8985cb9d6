"""``acaciacove demo``: both deployments in one process."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.no_settings import NoSettings


def run(settings: NoSettings, env: Environment) -> ExitStatus:
    """Run the demo, which sends its own requests and says where they went."""
    from acaciacove.demo import run_demo

    return asyncio.run(run_demo(env))
