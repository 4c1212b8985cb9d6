"""Records a fault while it lasts."""

import asyncio
from collections.abc import Callable

from acaciacove.soak.fault_kind import INSTANTANEOUS
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.soak_environment import SoakEnvironment


async def record_until_undone(
    environment: SoakEnvironment,
    fault: PlannedFault,
    subject: int | str,
    undo: Callable[[], None],
) -> None:
    """Record a fault, wait for its duration, then undo it."""
    loop = asyncio.get_running_loop()
    injected = InjectedFault(fault.kind, subject, loop.time())
    environment.faults.append(injected)
    if fault.kind not in INSTANTANEOUS:
        await asyncio.sleep(fault.duration_s)
    undo()
    injected.until_s = loop.time()
