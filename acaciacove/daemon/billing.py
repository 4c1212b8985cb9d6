"""Periodic append and final flush of a process's billing records."""

import asyncio
from collections.abc import Callable

from acaciacove.daemon.shared_state import SharedState
from acaciacove.state.billing_outbox import BillingOutbox

TICK_INTERVAL_S = 0.25


async def tick_billing(
    billing: BillingOutbox, is_removed: Callable[[str], bool] | None = None
) -> None:
    """Append the due billing records every ``TICK_INTERVAL_S``."""
    while True:
        billing.tick(asyncio.get_running_loop().time(), is_removed)
        await asyncio.sleep(TICK_INTERVAL_S)


async def flush(shared: SharedState, billing: BillingOutbox, timeout_s: float) -> bool:
    """Append all records before shutdown; false if the log did not accept all."""
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    billing.append_all(asyncio.get_running_loop().time())
    return await shared.writer.flush(deadline_s)
