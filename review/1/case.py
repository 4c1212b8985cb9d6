"""A replica's second copy of a refusal is taken for the answer of the next attempt."""

import asyncio
import os
import sys
import tempfile
from itertools import count
from pathlib import Path

from standins.consumer import Consumer, status_of
from standins.gateway import Gateway
from standins.manifest import KEY, put_manifest, route, service
from standins.network import free_gateway_host, free_port
from standins.record import Record
from standins.replica import Replica
from standins.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Statuses that promise that the request has not run.
PROMISES = frozenset({408, 421, 429, 503})
PAYMENTS = 400
PAUSE_S = 0.03
DEADLINE_MS = 2500
MAX_RETRIES = 3
# One arrival of this many finds all slots taken by other callers' requests.
FULL_EVERY = 10
# One refusal of this many is sent twice: less than 1 in 40 of all answers.
DOUBLED_EVERY = 5
MAX_DOUBLED_SHARE = 0.03


def main() -> int:
    """Run the case; return its exit status."""
    folder = Path(__file__).resolve().parent
    has_trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(run(Record(folder), Path(temporary), has_trouble))


async def run(record: Record, folder: Path, has_trouble: bool) -> int:
    """Send payments through a gateway to a replica that is full at times."""
    store = Store()
    store_port = free_port()
    await store.open("127.0.0.1", store_port)
    put_manifest(
        store,
        1,
        [
            route("topup", "non_idempotent", "kiosk-core", max_attempts=2),
            route("order", "non_idempotent", "kiosk-core", max_attempts=3),
        ],
        [service("kiosk-core")],
    )
    replica = Replica("i-7f3a91c2", "kiosk-core", "agadir-a", store, record)
    arrivals, refusals = count(1), count(1)
    replica.is_full = lambda: next(arrivals) % FULL_EVERY == 0

    def is_doubled(answer: bytes) -> bool:
        is_refusal = answer.startswith(b"HTTP/1.1 503 ")
        return is_refusal and next(refusals) % DOUBLED_EVERY == 1

    if has_trouble:
        replica.is_doubled = is_doubled
    await replica.open("127.0.0.1", free_port())
    host = free_gateway_host(0)
    store_address = f"127.0.0.1:{store_port}"
    gateway = Gateway("edge-1", host, ["agadir-a"], store_address, folder)
    try:
        await gateway.start()
        await gateway.wait_until_ready()
        consumer = Consumer("consumer", host, KEY, record)
        promised = await send_payments(consumer, record)
        consumer.close()
    except (TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await gateway.kill()
        replica.close()
        store.close()
    return judge(replica, promised, record)


async def send_payments(consumer: Consumer, record: Record) -> dict[str, int]:
    """Send payments one after the other; return the promises "not run" by attempt."""
    promised: dict[str, int] = {}
    for payment in range(PAYMENTS):
        name = "topup" if payment % 20 < 10 else "order"
        for attempt in range(1 + MAX_RETRIES):
            attempt_id = f"p{payment:04d}a{attempt}"
            answer = await consumer.request(
                "POST", f"/{name}/2f", attempt_id, DEADLINE_MS, b"amount=20"
            )
            if answer is None or status_of(answer) not in PROMISES:
                break
            promised[attempt_id] = status_of(answer)
            await asyncio.sleep(float(answer.fields.get("retry-after", "0")))
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(0.2)
    return promised


def judge(replica: Replica, promised: dict[str, int], record: Record) -> int:
    """Check the rules REFUSED and TWICE on what the replica has run."""
    ran = [run.attempt_id for run in replica.runs]
    refused = [each for each in promised if each in ran]
    twice = sorted({each for each in ran if ran.count(each) > 1})
    paid = [each.partition("a")[0] for each in ran]
    paid_twice = sorted({each for each in paid if paid.count(each) > 1})
    share = replica.doubled / max(1, replica.answers)
    record.write(
        f"{len(ran)} runs, {replica.answers} answers, {replica.doubled} of them sent"
        f" twice ({share:.3f} of all)"
    )
    record.write(f"REFUSED: promised 'not run' and has run: {refused}")
    record.write(f"TWICE: one attempt run more than once: {twice}")
    record.write(f"payments that were made twice: {paid_twice}")
    if not ran or share > MAX_DOUBLED_SHARE:
        return NOT_RUN
    return BROKEN if refused or twice else HELD


if __name__ == "__main__":
    sys.exit(main())
