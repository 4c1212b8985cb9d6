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
RUN_S = 48.0
PAUSE_S = 0.03
DEADLINE_MS = 2500
MAX_RETRIES = 3
# One arrival of this many finds all slots taken by other callers' requests.
FULL_EVERY = 10
# In 4.9 s of each 10 s one of two replicas sends one refusal twice, after so many
# answers that it is less than 3 in 100 of those of that time.
PERIOD_S, GARBLED_FROM_S, GARBLED_S = 10.0, 2.0, 4.9
MIN_ANSWERS = 34
MAX_DOUBLED_SHARE = 0.03
# The other replica's zone is evacuated for no longer than this.
MAX_EVACUATED_S = 60.0


def main() -> int:
    """Run the case; return its exit status."""
    folder = Path(__file__).resolve().parent
    has_trouble = os.environ.get("TROUBLE") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            return asyncio.run(run(Record(folder), Path(temporary), has_trouble))
    except Exception as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return NOT_RUN


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
    store.put_json("keyed.op", "evacuate/agadir-b", {})
    evacuated_s = record.now_s()
    replica = Replica("i-7f3a91c2", "kiosk-core", "agadir-a", store, record)
    other = Replica("i-02d9e6b4", "kiosk-core", "agadir-b", store, record)
    arrivals = count(1)
    replica.is_full = lambda: next(arrivals) % FULL_EVERY == 0
    if has_trouble:
        replica.is_doubled = lambda answer: is_doubled(replica, answer, record)
    for each in (replica, other):
        await each.open("127.0.0.1", free_port())
    host = free_gateway_host()
    store_address = f"127.0.0.1:{store_port}"
    gateway = Gateway("edge-1", host, ["agadir-a", "agadir-b"], store_address, folder)
    try:
        await gateway.start()
        await gateway.wait_until_ready()
        consumer = Consumer("consumer", host, KEY, record)
        promised = await send_payments(consumer, record)
        consumer.close()
        has_ended = not gateway.is_running
    except (TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await gateway.kill()
        replica.close()
        other.close()
        store.close()
    if has_ended or other.runs or record.now_s() - evacuated_s > MAX_EVACUATED_S:
        record.write("the gateway ended, or the evacuation was not kept")
        return NOT_RUN
    return judge(replica, promised, record)


def garbled_since(at_s: float) -> float | None:
    """Return when the replica began to garble answers; None if it doesn't now."""
    begin_s = at_s - (at_s - GARBLED_FROM_S) % PERIOD_S
    return begin_s if 0.0 < begin_s <= at_s < begin_s + GARBLED_S else None


def is_doubled(replica: Replica, answer: bytes, record: Record) -> bool:
    """Return whether an answer is sent twice: one refusal of each time of garbling."""
    begin_s = garbled_since(record.now_s())
    if begin_s is None or not answer.startswith(b"HTTP/1.1 503 "):
        return False
    answers = sum(at_s >= begin_s for at_s in replica.answers)
    return answers >= MIN_ANSWERS and not any(
        at_s >= begin_s for at_s in replica.doubled
    )


async def send_payments(consumer: Consumer, record: Record) -> dict[str, int]:
    """Send payments one after the other; return the promises "not run" by attempt."""
    promised: dict[str, int] = {}
    for payment in count(0):
        if record.now_s() > RUN_S:
            break
        name = "order" if int(record.now_s() / PERIOD_S) % 2 else "topup"
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


def doubled_share(replica: Replica, doubled_s: float) -> float:
    """Return the share of answers sent twice while the replica garbled."""
    begin_s = garbled_since(doubled_s) or 0.0
    end_s = begin_s + GARBLED_S
    doubled = sum(begin_s <= at_s < end_s for at_s in replica.doubled)
    return doubled / sum(begin_s <= at_s < end_s for at_s in replica.answers)


def judge(replica: Replica, promised: dict[str, int], record: Record) -> int:
    """Check the rules REFUSED and TWICE on what the replica has run."""
    ran = [run.attempt_id for run in replica.runs]
    refused = [each for each in promised if each in ran]
    twice = sorted({each for each in ran if ran.count(each) > 1})
    paid = [each.partition("a")[0] for each in ran]
    paid_twice = sorted({each for each in paid if paid.count(each) > 1})
    shares = [doubled_share(replica, at_s) for at_s in replica.doubled]
    record.write(
        f"{len(paid)} runs of {len(set(paid))} payments, {len(replica.answers)}"
        f" answers, {len(replica.doubled)} sent twice; shares of the answers of each"
        f" time of garbling: {[round(share, 4) for share in shares]}"
    )
    record.write(f"REFUSED: promised 'not run' and has run: {refused}")
    record.write(f"TWICE: one attempt run more than once: {twice}")
    record.write(f"payments that were made twice: {paid_twice}")
    if not ran or max(shares, default=0.0) > MAX_DOUBLED_SHARE:
        return NOT_RUN
    return BROKEN if refused or twice else HELD


if __name__ == "__main__":
    sys.exit(main())
