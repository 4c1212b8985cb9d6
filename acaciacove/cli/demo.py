"""``acaciacove demo``: both deployments in one process."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.demo_settings import DemoSettings


def run(settings: DemoSettings, env: Environment) -> ExitStatus:
    """Run the demo, which sends its own requests and says where they went."""
    from acaciacove.demo import run_demo

    return asyncio.run(run_demo(env))
