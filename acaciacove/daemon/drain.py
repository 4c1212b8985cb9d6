"""Leaving without cutting a request."""

import asyncio
from collections.abc import Callable

from acaciacove.daemon.decision_log import log_event
from acaciacove.daemon.process_lifecycle import ProcessLifecycle

POLL_S = 0.02


async def drain(
    lifecycle: ProcessLifecycle,
    notice_s: float,
    limit_s: float,
    tell: Callable[[], None],
    in_flight: Callable[[], int],
) -> bool:
    """Fail readiness, serve on while the balancer notices, then finish what runs.

    ``tell`` spreads the word that this process leaves. Refusing at once would cut
    callers whom the balancer still sends here. Returns false when requests were
    left after ``limit_s``.
    """
    loop = asyncio.get_running_loop()
    lifecycle.announce_leaving()
    tell()
    log_event("leaving", in_flight=in_flight())
    await asyncio.sleep(notice_s)
    lifecycle.drain()
    deadline_s = loop.time() + limit_s
    while in_flight() > 0 and loop.time() < deadline_s:
        await asyncio.sleep(POLL_S)
    log_event("drained", left=in_flight())
    return in_flight() == 0
