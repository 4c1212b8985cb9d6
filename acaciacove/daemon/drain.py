"""Graceful shutdown that completes running requests."""

import asyncio
from collections.abc import Callable

from acaciacove.daemon.decision_log import log_event
from acaciacove.daemon.process_lifecycle import ProcessLifecycle

POLL_INTERVAL_S = 0.02


async def drain(
    lifecycle: ProcessLifecycle,
    notice_s: float,
    timeout_s: float,
    announce_shutdown: Callable[[], None],
    in_flight: Callable[[], int],
) -> bool:
    """Fail readiness, keep serving for ``notice_s``, then finish running requests.

    ``announce_shutdown`` informs the peers. Refusing at once would cut off callers
    that the load balancer still sends here during the notice. Returns false when
    requests were still in flight after ``timeout_s``.
    """
    loop = asyncio.get_running_loop()
    lifecycle.announce_leaving()
    announce_shutdown()
    log_event("leaving", in_flight=in_flight())
    await asyncio.sleep(notice_s)
    lifecycle.drain()
    deadline_s = loop.time() + timeout_s
    while in_flight() > 0 and loop.time() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    log_event("drained", left=in_flight())
    return in_flight() == 0
