"""``acaciacove soak``: real processes under faults, judged from outside."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.soak_settings import SoakSettings


def run(settings: SoakSettings, env: Environment) -> ExitStatus:
    """Print the plan, play it, and report what was broken."""
    from acaciacove.soak.fault_plan import plan_faults
    from acaciacove.soak.run_soak import run_soak

    for fault in plan_faults(settings):
        env.print(str(fault))
    report = asyncio.run(run_soak(settings))
    env.print(report.text())
    return ExitStatus.CHECK_FAILED if report.violations else ExitStatus.SUCCESS
