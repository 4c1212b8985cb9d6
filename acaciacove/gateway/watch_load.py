"""Watches the event loop's lag, and refuses new connections while it is too long."""

import asyncio

from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric

WATCH_INTERVAL_S = 0.1


async def watch_load(gateway: Gateway) -> None:
    """Record the event loop's lag until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + WATCH_INTERVAL_S
        await asyncio.sleep(WATCH_INTERVAL_S)
        lag_s = loop.time() - due_s
        record_lag(gateway, lag_s)


def record_lag(gateway: Gateway, lag_s: float) -> None:
    """Record one lag, and log when new connections are refused or taken again."""
    shedder = gateway.shedder
    now_s = asyncio.get_running_loop().time()
    if shedder.record_lag(lag_s, now_s):
        gateway.log.write(
            Event.CONNECTIONS_SHED
            if shedder.is_overloaded
            else Event.CONNECTIONS_TAKEN,
            lag_s=round(lag_s, 3),
            refused=shedder.refused,
        )


def may_accept(gateway: Gateway, open_connections: int) -> bool:
    """Return whether one more caller's connection is taken; count refused ones."""
    if gateway.shedder.may_accept(open_connections):
        return True
    gateway.metrics.count(Metric.CONNECTIONS_REFUSED)
    return False
