"""Each request is billed once, also when a holder of its record is lost."""

import asyncio
from random import Random

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.state.billing_ledger import BillingLedger
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.billing_record import BILLING_STREAM, BillingRecord
from acaciacove.state.billing_row import pack_row, unpack_holders, unpack_row
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings
from tests.virtual import run_virtual


def record(request_id, cost=1.0, answered=True):
    return BillingRecord(request_id, "kiosk", "darija", "d@1", answered, cost)


class Process:
    """Entry or sidecar with its billing outbox."""

    def __init__(self, name, log, **settings_):
        self.name = name
        self.writer = LogWriter(log, name, 1, LogWriterSettings(), Random(name))
        self.outbox = BillingOutbox(name, self.writer, BillingSettings(**settings_))
        self.is_gone = lambda entry: False
        self.tasks = [asyncio.create_task(self.writer.run())]
        self.tasks.append(asyncio.create_task(self._tick()))

    async def _tick(self):
        while True:
            self.outbox.tick(asyncio.get_running_loop().time(), self.is_gone)
            await asyncio.sleep(0.5)

    def kill(self):
        for task in [*self.tasks, *self.writer._in_flight.values()]:
            task.cancel()


def ledger_of(log):
    ledger = BillingLedger()
    payloads = log.streams.get(BILLING_STREAM, [])
    ledger.offer([LogEntry(i, p) for i, p in enumerate(payloads)])
    return ledger


@given(
    st.integers(0, 2**32),
    st.sampled_from(["none", "entry", "sidecar"]),
    st.booleans(),
    st.sampled_from([0.0, 0.5]),
    st.sampled_from([0.0, 0.3]),
)
@settings(derandomize=True, deadline=None, max_examples=40, phases=[Phase.generate])
def test_every_request_is_billed_once_when_one_holder_is_killed(
    seed, killed, outage, lost, late
):
    # Guards against lost and duplicate bills: an entry or a sidecar is killed while
    # requests run, and the log is unavailable for a minute and loses replies.
    random = Random(seed)
    log = FaultyLog(Random(seed), lost_reply_share=lost, late_share=late)
    answered = []

    async def main():
        entry, sidecars = Process("e1", log), [Process(f"s{n}", log) for n in (1, 2)]
        alive = {"e1", "s1", "s2"}
        for process in sidecars:
            process.is_gone = lambda name: name not in alive
        for n in range(80):
            now_s = asyncio.get_running_loop().time()
            log.down = outage and 10 <= now_s < 70
            if n == 40 and killed != "none":
                victim = entry if killed == "entry" else sidecars[0]
                victim.kill()
                alive.discard(victim.name)
            if "e1" in alive:
                _serve_request(f"r{n}", entry, sidecars, alive, random, now_s, answered)
            await asyncio.sleep(1.0)
        log.lost_reply_share = log.late_share = 0.0
        await asyncio.sleep(300)
        assert entry.outbox.held == 0 or "e1" not in alive
        assert sidecars[1].outbox.held == 0

    run_virtual(main)
    ledger = ledger_of(log)
    assert ledger.requests["kiosk"] == len(answered)
    assert all(ledger.record_of(request_id).answered for request_id in answered)


def _serve_request(request_id, entry, sidecars, alive, random, now_s, answered):
    """Let one sidecar work for a request, or two as in a cascade or hedge."""
    working = [s for s in sidecars if s.name in alive][: random.choice([1, 2])]
    for sidecar in working:
        sidecar.outbox.hold(record(request_id), "e1", now_s)
        sidecar.outbox.confirm(entry.outbox.take_confirmations(sidecar.name))
    entry.outbox.bill(record(request_id, 2.0), [s.name for s in working], now_s)
    answered.append(request_id)


def test_a_confirmed_copy_is_not_appended_and_an_unanswered_one_does_not_count():
    # The stream to the caller was interrupted and never resumed. The entry then
    # records a cost of zero, and the sidecar's copy must not bill the request.
    log = FaultyLog(Random(1))

    async def main():
        entry, sidecar = Process("e1", log), Process("s1", log)
        for request_id, answered in (("r1", True), ("r2", False)):
            sidecar.outbox.hold(record(request_id), "e1", 0.0)
            entry.outbox.bill(record(request_id, 2.0, answered), ["s1"], 0.0)
        await asyncio.sleep(5)
        sidecar.outbox.confirm(entry.outbox.take_confirmations("s1")[:1])
        assert sidecar.outbox.held == 1
        await asyncio.sleep(300)

    run_virtual(main)
    ledger = ledger_of(log)
    assert ledger.requests == {"kiosk": 1} and ledger.cost == {"kiosk": 2.0}
    assert ledger.duplicates == 1


def test_a_long_log_outage_stops_new_requests_at_max_held():
    log = FaultyLog(Random(1))

    async def main():
        log.down = True
        entry = Process("e1", log, max_held=50)
        for n in range(50):
            assert entry.outbox.has_room
            entry.outbox.bill(record(f"r{n}"), [], 0.0)
        assert not entry.outbox.has_room
        await asyncio.sleep(3600)
        log.down = False
        await asyncio.sleep(60)
        assert entry.outbox.has_room and entry.outbox.held == 0

    run_virtual(main)
    assert ledger_of(log).requests == {"kiosk": 50}


def test_a_process_that_shuts_down_appends_its_copies():
    log = FaultyLog(Random(1))

    async def main():
        sidecar = Process("s1", log)
        sidecar.outbox.hold(record("r1"), "e1", 0.0)
        sidecar.outbox.append_all(1.0)
        assert await sidecar.writer.flush(10.0)

    run_virtual(main)
    assert ledger_of(log).requests == {"kiosk": 1}


def test_a_process_that_shuts_down_appends_more_than_max_submitted():
    # Guards against lost bills at a shutdown after a log outage: the queue of the
    # writer holds only a part of them, so an empty queue does not mean that all are
    # in the log.
    log = FaultyLog(Random(1))

    async def main():
        log.down = True
        entry = Process("e1", log, max_submitted=600)
        for n in range(3000):
            entry.outbox.bill(record(f"r{n}"), ["s1"], 0.0)
            assert entry.writer.queued <= 600
        log.down = False
        entry.tasks[1].cancel()
        now_s = asyncio.get_running_loop().time()
        entry.outbox.append_all(now_s)
        assert await entry.writer.flush(now_s + 60.0)
        assert entry.outbox.held == 0
        confirmed = [entry.outbox.take_confirmations("s1") for _ in range(12)]
        assert sum(confirmed, ()) == tuple(f"r{n}" for n in range(3000))

    run_virtual(main)
    ledger = ledger_of(log)
    assert ledger.requests == {"kiosk": 3000} and ledger.duplicates == 0


def test_a_second_record_for_an_id_only_adds_holders_to_confirm():
    # A caller repeats a call while its first record is queued. The second amount must
    # not replace the first, and every sidecar must receive a confirmation, or it
    # would never remove its copy.
    log = FaultyLog(Random(1))

    async def main():
        entry = Process("e1", log, max_submitted=1)
        for n in range(2):
            entry.outbox.bill(record(f"r{n}"), ["s1"], 0.0)
        for n in range(2):
            entry.outbox.bill(record(f"r{n}", 9.0), ["s2"], 0.0)
            entry.outbox.hold(record(f"r{n}", 7.0), "e2", 0.0)
        await asyncio.sleep(30)
        assert entry.outbox.held == 0
        for sidecar in ("s1", "s2"):
            assert entry.outbox.take_confirmations(sidecar) == ("r0", "r1")

    run_virtual(main)
    ledger = ledger_of(log)
    assert ledger.cost == {"kiosk": 2.0} and ledger.duplicates == 0


def test_a_copy_that_is_held_again_waits_for_its_entry_again():
    # A copy became due while the log was unavailable and was then confirmed, and the
    # caller repeated the call. If the new copy took the old place in the queue, it
    # would be appended before the record of its entry.
    log = FaultyLog(Random(1))

    async def main():
        sidecar = Process("s1", log, max_submitted=1)
        log.down = True
        for request_id in ("r0", "r1"):
            sidecar.outbox.hold(record(request_id), "e1", 0.0)
        await asyncio.sleep(100)
        sidecar.outbox.confirm(["r1"])
        now_s = asyncio.get_running_loop().time()
        sidecar.outbox.hold(record("r1"), "e1", now_s)
        log.down = False
        await asyncio.sleep(60)
        assert sidecar.outbox.held == 1
        await asyncio.sleep(60)
        assert sidecar.outbox.held == 0

    run_virtual(main)
    assert ledger_of(log).requests == {"kiosk": 2}


COUNTS = st.integers(0, 2**40)
AMOUNTS = st.floats(0, 1e9)
NAMES = st.text(st.characters(codec="utf-8"), max_size=20)


@given(
    st.builds(
        BillingRecord, NAMES, NAMES, NAMES, NAMES, st.booleans(), AMOUNTS, COUNTS,
        COUNTS, AMOUNTS, NAMES,
    ),
    st.none() | st.lists(NAMES, max_size=3).map(tuple),
)  # fmt: skip
@settings(derandomize=True, deadline=None)
def test_packed_records_unpack_unchanged(bill, holders):
    row = pack_row(bill, holders)
    assert unpack_row(bill.request_id, bill.writer, row) == bill
    assert unpack_holders(row) == holders
