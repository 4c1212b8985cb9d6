"""Log appends per second against requests per second, by the real log writer."""

import asyncio
from collections.abc import Callable
from random import Random

import async_solipsism
from attrs import frozen

from acaciacove.bench.design_size import DesignSize
from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.state.append_budget import split_append_rates
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings
from acaciacove.state.priority import Priority

RATES_PER_S = (1.0, 5.0, 20.0, 50.0)
WARM_UP_S = 60.0
SECONDS = 300.0
BILL_BYTES = 220
CLAIM_BYTES = 180
ITEMS_A_CLAIM = 2
SEED = 1


@frozen
class AppendCost:
    """Appends of one process at a rate of requests, with its share of the budget.

    ``wait_p95_s`` is how long an item waited until it was in the log.
    """

    stream: str
    requests_per_s: float
    appends_per_s: float
    items_per_append: float
    wait_p95_s: float
    unsettled: int


def measure_appends(size: DesignSize) -> list[AppendCost]:
    """Measure bills and claims at several rates, and at the size to design for."""
    bills_per_s = size.requests_per_s / size.entries
    claims_per_s = size.requests_per_s * size.non_idempotent_share / size.claim_owners
    costs = [
        _in_virtual_time(size, "billing", Priority.BILLING, rate, 1, BILL_BYTES)
        for rate in (*RATES_PER_S, bills_per_s)
    ]
    costs += [
        _in_virtual_time(
            size, "claims", Priority.CLAIM, rate, ITEMS_A_CLAIM, CLAIM_BYTES
        )
        for rate in (*RATES_PER_S, claims_per_s)
    ]
    return costs


def _in_virtual_time(
    size: DesignSize,
    stream: str,
    priority: Priority,
    rate_per_s: float,
    items: int,
    item_bytes: int,
) -> AppendCost:
    """Run one writer for minutes of its own time, which pass at once."""
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        settings = split_append_rates(
            LogWriterSettings(), size.claim_owners, size.entries
        )
        item = b'{"item":"' + b"x" * item_bytes + b'"}'
        return loop.run_until_complete(
            _run(stream, priority, rate_per_s, items, item, settings)
        )
    finally:
        loop.close()
        asyncio.set_event_loop(None)


async def _run(
    stream: str,
    priority: Priority,
    rate_per_s: float,
    items: int,
    item: bytes,
    settings: LogWriterSettings,
) -> AppendCost:
    loop = asyncio.get_running_loop()
    random = Random(SEED)
    log = FaultyLog(random)
    writer = LogWriter(log, "writer", 1, settings, random)
    running = asyncio.create_task(writer.run())
    waits_s: list[float] = []
    at_warm_up = 0
    submitted = 0
    started_s = loop.time()
    while loop.time() - started_s < WARM_UP_S + SECONDS:
        await asyncio.sleep(random.expovariate(rate_per_s * items))
        if loop.time() - started_s < WARM_UP_S:
            at_warm_up = log.append_counts.get(stream, 0)
        done = writer.submit(stream, item, priority)
        done.add_done_callback(_noting(waits_s, loop.time()))
        submitted += 1
    appends = log.append_counts.get(stream, 0) - at_warm_up
    unsettled = submitted - len(waits_s)
    settled = max(1, len(waits_s))
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return AppendCost(
        stream=stream,
        requests_per_s=round(rate_per_s, 2),
        appends_per_s=round(appends / SECONDS, 3),
        items_per_append=round(rate_per_s * items * SECONDS / max(1, appends), 1),
        wait_p95_s=round(sorted(waits_s)[int(0.95 * settled) - 1], 3),
        unsettled=unsettled,
    )


def _noting(waits_s: list[float], queued_s: float) -> Callable[[object], None]:
    """Return a callback that notes how long an item has waited."""
    loop = asyncio.get_running_loop()
    return lambda _: waits_s.append(loop.time() - queued_s)
