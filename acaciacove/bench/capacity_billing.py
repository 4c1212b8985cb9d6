"""What a bill that cannot be appended yet costs its holder."""

import asyncio
import tracemalloc
from random import Random

from attrs import frozen

from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.state.billing_codec import encode_billing_record
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.billing_record import BillingRecord
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings

BILLS = 74_000
SIDECAR = "guide-0001"
ENTRY = "entry-0001"
UNIX_S = 1_800_000_000.0


@frozen
class BillCost:
    """Bytes of a held bill with its place in the queue, and of its log record."""

    held_bytes: float
    log_bytes: int


async def measure_bills() -> BillCost:
    """Bill requests into an outbox whose writer never gets to append."""
    random = Random(1)
    settings = LogWriterSettings()
    writer = LogWriter(FaultyLog(random), ENTRY, 1, settings, random)
    outbox = BillingOutbox(ENTRY, writer, BillingSettings())
    now_s = asyncio.get_running_loop().time()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(BILLS):
            outbox.bill(_bill(number), (SIDECAR,), now_s)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return BillCost(
        held_bytes=round((after - before) / outbox.held, 1),
        log_bytes=len(encode_billing_record(_bill(0))),
    )


def _bill(number: int) -> BillingRecord:
    return BillingRecord(
        request_id=f"{number:032x}",
        organisation="ozark-float-outfitters",
        api="guide",
        version="guide-small@1",
        answered=True,
        cost=0.0123,
        prompt_tokens=120,
        completion_tokens=230,
        at_s=UNIX_S + number,
        writer=ENTRY,
    )
