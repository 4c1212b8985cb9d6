"""Injects faults of connections, through the proxy that they pass."""

from acaciacove.soak.fault_kind import DELAYING, RESETTING, SILENCING
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.proxy import Proxy
from acaciacove.soak.record_until_undone import record_until_undone
from acaciacove.soak.soak_environment import SoakEnvironment

DELAY_S = 0.3


async def inject_link_fault(
    environment: SoakEnvironment, fault: PlannedFault, link: Proxy, subject: int | str
) -> None:
    """Delay, reset or silence the connections of a proxy."""
    state = link.state
    if fault.kind in RESETTING:
        link.reset()
    elif fault.kind in DELAYING:
        state.delay_s = DELAY_S
    elif fault.kind in SILENCING:
        state.up_silent = True
    else:
        state.down_silent = True

    def undo() -> None:
        state.delay_s = 0.0
        if state.up_silent or state.down_silent:
            # The discarded bytes are missing: no connection may be used further.
            state.up_silent = state.down_silent = False
            link.reset()

    await record_until_undone(environment, fault, subject, undo)
