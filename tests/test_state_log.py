"""Log writer and tail: order, no lost items, and a limited append rate."""

import asyncio
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.errors import LogQueueFullError
from acaciacove.state.append_state import AppendState
from acaciacove.state.batch_codec import decode_batch
from acaciacove.state.log_status import LogStatus
from acaciacove.state.log_tail import LogTail
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings
from acaciacove.state.priority import Priority
from tests.virtual import run_virtual

STREAM = "claims/0"


def make_writer(log, **settings_):
    return LogWriter(log, "sidecar-1", 1, LogWriterSettings(**settings_), Random(1))


def appended_items(log, stream=STREAM):
    batches = [decode_batch(payload) for payload in log.streams.get(stream, [])]
    return [item["n"] for batch in batches for item in batch.items]


@given(
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.3, 0.8]),
    st.sampled_from([0.0, 0.3]),
    st.booleans(),
)
@settings(derandomize=True, deadline=None, max_examples=25)
def test_items_are_appended_in_order_despite_log_faults(seed, lost, late, outage):
    # Replies are lost after the append, appends are written late, and the log is
    # down for a while. A lost item would be a lost billing record.
    log = FaultyLog(Random(seed), lost_reply_share=lost, late_share=late)

    async def main():
        writer = make_writer(log)
        task = asyncio.create_task(writer.run())
        for n in range(60):
            writer.submit(STREAM, b'{"n":%d}' % n, Priority.CLAIM)
            await asyncio.sleep(0.02)
            log.down = outage and 20 <= n < 40
        log.down = False
        assert await writer.flush(asyncio.get_running_loop().time() + 600)
        task.cancel()

    run_virtual(main)
    appended = appended_items(log)
    assert list(dict.fromkeys(appended)) == list(range(60))
    if not late:
        # The log is searched before each retry, so that no item is written twice.
        assert appended == list(range(60))


def test_append_rate_stays_within_its_budget():
    # Without batches, a thousand claims a second would be a thousand appends. The
    # log accepts only several hundred a second from the whole fleet.
    log = FaultyLog(Random(1))

    async def main():
        writer = make_writer(log, claims_per_s=10.0, burst=5.0)
        task = asyncio.create_task(writer.run())
        for n in range(5000):
            writer.submit(STREAM, b'{"n":%d}' % n, Priority.CLAIM)
            await asyncio.sleep(0.001)
        await writer.flush(asyncio.get_running_loop().time() + 60)
        task.cancel()

    run_virtual(main)
    assert appended_items(log) == list(range(5000))
    assert log.append_counts[STREAM] <= 5 + 10 * 6


def test_item_is_not_sent_after_its_deadline():
    # The log is slow and the caller's deadline passes. An item that was reported as
    # not appended must not be appended afterwards.
    log = FaultyLog(Random(1), latency_s=1.0)

    async def main():
        writer = make_writer(log)
        task = asyncio.create_task(writer.run())
        now = asyncio.get_running_loop().time()
        first = asyncio.create_task(
            writer.append(STREAM, b'{"n":1}', Priority.CLAIM, now + 5)
        )
        await asyncio.sleep(0.1)
        second = await writer.append(STREAM, b'{"n":2}', Priority.CLAIM, now + 0.5)
        assert second.state is AppendState.NOT_APPENDED
        assert (await first).appended
        await asyncio.sleep(10)
        task.cancel()

    run_virtual(main)
    assert appended_items(log) == [1]


def test_append_without_reply_is_in_doubt_and_log_is_down():
    log = FaultyLog(Random(1), lost_reply_share=1.0)

    async def main():
        writer = make_writer(log)
        task = asyncio.create_task(writer.run())
        now = asyncio.get_running_loop().time()
        appending = asyncio.create_task(
            writer.append(STREAM, b'{"n":1}', Priority.CLAIM, now + 5)
        )
        await asyncio.sleep(0.004)
        log.down = True
        assert (await appending).state is AppendState.IN_DOUBT
        assert writer.health.status is LogStatus.DOWN
        task.cancel()

    run_virtual(main)


def test_full_queue_refuses_lower_priorities_first():
    async def main():
        writer = make_writer(FaultyLog(Random(1)), max_items=20)
        for priority, room in (
            (Priority.BILLING, 16),
            (Priority.CLAIM, 3),
            (Priority.DECISION, 1),
        ):
            for _ in range(room):
                writer.submit(STREAM, b"{}", priority)
            with pytest.raises(LogQueueFullError):
                writer.submit(STREAM, b"{}", priority)

    run_virtual(main)


def test_tail_resumes_after_expired_records_and_an_outage():
    # Records expire during an outage. The reader must be notified of the gap, and
    # then receive all remaining records once and in order.
    log = FaultyLog(Random(1), keep=10)
    seen, gaps = [], []

    async def main():
        tail = LogTail(
            log, "s", lambda e: seen.extend(x.offset for x in e), gaps.append, Random(1)
        )
        task = asyncio.create_task(tail.run())
        for n in range(40):
            log.put("s", b"%d" % n)
            log.down = 10 <= n < 30
            await asyncio.sleep(0.5)
        await asyncio.sleep(5)
        task.cancel()

    run_virtual(main)
    assert gaps
    assert seen == sorted(set(seen))
    assert seen[-1] == 39
    assert seen[seen.index(gaps[-1]) :] == list(range(gaps[-1], 40))
