"""``acaciacove soak``: checks real processes under injected faults."""

import asyncio
from collections.abc import Sequence

from attrs import evolve

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.soak_settings import SoakSettings


def run(settings: SoakSettings, env: Environment) -> ExitStatus:
    """Print the fault plan, run it, and report violations."""
    from acaciacove.soak.fault_plan import plan_faults
    from acaciacove.soak.run_soak import run_soak

    for fault in plan_faults(settings):
        env.print(str(fault))
    report = asyncio.run(run_soak(settings))
    env.print(report.text())
    if report.violations and settings.shorten:
        kept = asyncio.run(_shorten(settings, [f.number for f in report.plan]))
        env.print(f"enough: --only {','.join(map(str, kept))}")
    return ExitStatus.CHECK_FAILED if report.violations else ExitStatus.SUCCESS


async def _shorten(settings: SoakSettings, numbers: Sequence[int]) -> list[int]:
    """Run parts of the plan until no further fault can be left out."""
    from acaciacove.soak.run_soak import run_soak
    from acaciacove.soak.shorten_plan import shorten_plan

    async def is_broken(part: Sequence[int]) -> bool:
        only = ",".join(map(str, part))
        report = await run_soak(evolve(settings, only=only, log_folder=""))
        return bool(report.violations)

    return await shorten_plan(numbers, is_broken)
