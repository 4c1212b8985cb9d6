"""A long randomised run in which every promise is asserted under faults."""

import asyncio
from collections import Counter
from random import Random
from typing import Any

import async_solipsism

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.bench.promise_callers import PromiseCallers
from acaciacove.bench.promise_counts import PromiseCounts
from acaciacove.bench.promise_faults import FAULTS, NOT_TOGETHER
from acaciacove.bench.promise_fleet import PromiseFleet, first_note
from acaciacove.bench.promise_network import PromiseNetwork
from acaciacove.bench.promise_operators import PromiseOperators
from acaciacove.bench.promise_sidecar import PromiseSidecar
from acaciacove.bench.promise_truth import GRACE_S, PromiseTruth
from acaciacove.bench.promise_world import PromiseWorld
from acaciacove.bench.promises_report import PromisesReport
from acaciacove.errors import InvalidSettingsError
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.state.billing_ledger import BillingLedger
from acaciacove.state.billing_record import BILLING_STREAM
from acaciacove.state.record import RELEASE_STREAM
from acaciacove.state.record_codec import encode_record

BREAKABLE = (
    "claims",
    "billing",
    "fencing",
    "spread",
    "pins",
    "ramp",
    "drain",
    "withdrawal",
    "answers",
    "not_run",
    "allowed",
    "shutdown",
)
# The faults under which a broken mechanism shows; the others show without any.
EXERCISED_BY: dict[str, tuple[str, ...]] = {
    "billing": ("entry_killed", "log_down"),
    "spread": ("log_reaches_one",),
    "answers": ("answers_crossed",),
    "not_run": ("connections_broken",),
    "shutdown": ("sidecar_leaves",),
    "drain": ("sidecar_leaves",),
    "ramp": ("endpoint_turns_cold",),
}
REQUESTS_A_ROUND = 100
BURST_SHARE = 0.08
BURST = 15
REQUEST_GAP_S = 0.25
FAULT_S = 6.0
START_S = 2.0
CALM_S = 4.0
LONGEST_SETTLE_S = 600.0
WATCH_S = 0.25
ORDER_SHARE = 0.3
ACT_EVERY = 15


def run_promises(
    seed: int, rounds: int, break_promise: str | None = None
) -> PromisesReport:
    """Run rounds of a hundred requests, each under one fault or a pair of them.

    The clock is virtual and all chance comes from the seed, so the same arguments
    give the same report. ``break_promise`` takes one of the mechanisms in
    ``BREAKABLE`` away, and the counter of its promise has to rise. Raises
    InvalidSettingsError.
    """
    if break_promise and break_promise not in BREAKABLE:
        names = ", ".join(BREAKABLE)
        raise InvalidSettingsError([f"a promise to break is one of {names}"])
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        run = _Run(seed, rounds, break_promise or "")
        return loop.run_until_complete(run.main())
    finally:
        _cancel_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


class _Run:
    """One run, from an empty log to the last check."""

    def __init__(self, seed: int, rounds: int, broken: str) -> None:
        self._seed = seed
        self._rounds = rounds
        self._broken = broken
        self._faults: Counter[str] = Counter()
        self._number = 0
        self._deck: list[str] = []
        self._burst = 0

    async def main(self) -> PromisesReport:
        """Do everything; the report is made after the last bill has landed."""
        self._build()
        world, fleet = self.world, self.fleet
        world.log.put(RELEASE_STREAM, encode_record(first_note()))
        fleet.start_all()
        watch = asyncio.create_task(self._watch())
        await asyncio.sleep(START_S)
        for _ in range(self._rounds):
            await self._round()
        await self._settle()
        watch.cancel()
        self._check_bills()
        return PromisesReport(
            seed=self._seed,
            rounds=self._rounds,
            broken=self._broken,
            requests=self.callers.requests,
            virtual_s=round(asyncio.get_running_loop().time(), 3),
            outcomes=dict(sorted(self.callers.outcomes.items())),
            faults=dict(sorted(self._faults.items())),
            checks=world.counts.checks,
            violations=world.counts.violations,
            details=tuple(world.counts.details),
        )

    def _build(self) -> None:
        random = Random(self._seed)
        log = FaultyLog(Random(random.random()))
        self.world = PromiseWorld(
            seed=self._seed,
            random=random,
            log=log,
            network=PromiseNetwork(Random(random.random())),
            truth=PromiseTruth(log),
            counts=PromiseCounts(),
            broken=self._broken,
        )
        self.fleet = PromiseFleet(self.world)
        self.callers = PromiseCallers(self.world, self.fleet)
        self.operators = PromiseOperators(self.world)

    async def _round(self) -> None:
        """Send requests while faults come and operators act, then let it settle."""
        names = self._draw_faults()
        self._faults[" + ".join(sorted(names))] += 1
        work = [asyncio.create_task(self._fail(name)) for name in names]
        for number in range(REQUESTS_A_ROUND):
            self._number += 1
            work.append(asyncio.create_task(self.callers.send(self._number)))
            if number % ACT_EVERY == ACT_EVERY - 1:
                work.append(asyncio.create_task(self.operators.act()))
            if self.world.random.random() < ORDER_SHARE:
                self._order()
            await self._pause_between()
        await asyncio.gather(*work)
        await self.operators.bring_zones_in()
        await asyncio.sleep(CALM_S)
        await self._wait_for_bills()

    async def _pause_between(self) -> None:
        """Wait for the next request; now and then many come at once."""
        if self._burst:
            self._burst -= 1
            return
        if self.world.random.random() < BURST_SHARE:
            self._burst = BURST
        gap_s = self.world.random.expovariate(1.0 / REQUEST_GAP_S)
        await asyncio.sleep(min(1.0, gap_s))

    def _draw_faults(self) -> list[str]:
        """Deal one fault or a pair; all of them come up in ten rounds or so."""
        if self._broken in EXERCISED_BY:
            return list(EXERCISED_BY[self._broken])
        count = self.world.random.choice([1, 2, 2])
        if len(self._deck) < count:
            names = sorted(FAULTS)
            self._deck = self.world.random.sample(names, len(names))
        names = [self._deck.pop() for _ in range(count)]
        return names[:1] if set(names) == NOT_TOGETHER else names

    async def _fail(self, name: str) -> None:
        await asyncio.sleep(self.world.random.uniform(0.0, 3.0))
        await FAULTS[name](self.fleet, FAULT_S)

    def _order(self) -> None:
        """Give a sidecar an order, at times one that was decided long ago."""
        world = self.world
        sidecars = [p for p in self.fleet.processes() if isinstance(p, PromiseSidecar)]
        if not sidecars:
            return
        fence = world.truth.state.release_revision
        if world.random.random() < ORDER_SHARE:
            fence = world.random.choice(world.truth.states).release_revision
        world.random.choice(sidecars).order(fence)

    async def _wait_for_bills(self) -> None:
        """Wait until no process holds a bill that is not in the log."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LONGEST_SETTLE_S
        while loop.time() < until_s:
            if not any(p.outbox.held for p in self.fleet.processes()):
                return
            await asyncio.sleep(1.0)

    async def _settle(self) -> None:
        await self._wait_for_bills()
        await asyncio.sleep(GRACE_S)

    async def _watch(self) -> None:
        """Assert again and again that what was accepted is in force everywhere."""
        while True:
            await asyncio.sleep(WATCH_S)
            now_s = asyncio.get_running_loop().time()
            self.world.truth.held_by_none_above(self._spoken_revision(), now_s)
            due = self.world.truth.due_revision(now_s)
            for process in self.fleet.processes():
                zone = process.me.availability_zone
                awake = process.awake.is_set()
                late = now_s - process.awake_since_s > GRACE_S
                started = process.status is not InstanceStatus.STARTING
                if awake and late and started and not self.world.was_cut(zone, now_s):
                    kept = process.fleet_store.revision >= due
                    detail = (
                        f"{process.me.name}: {process.fleet_store.revision} of {due}"
                    )
                    self.world.counts.check("spread", kept, detail)

    def _spoken_revision(self) -> int:
        """Return the highest revision of a process that can tell others of it."""
        cut_off = self.world.network.cut_off
        revisions = [
            p.fleet_store.revision
            for p in self.fleet.processes()
            if p.awake.is_set() and p.me.availability_zone not in cut_off
        ]
        return max(revisions, default=-1)

    def _check_bills(self) -> None:
        """Assert that what was answered is billed once, and nothing else is."""
        payloads = self.world.log.streams.get(BILLING_STREAM, [])
        ledger = BillingLedger()
        ledger.offer([LogEntry(i, p) for i, p in enumerate(payloads)])
        counts = self.world.counts
        for bill in sorted(self.callers.answered):
            record = ledger.record_of(bill)
            billed = record is not None and record.answered
            counts.check("billing", billed, f"{bill} is not billed")
        for bill in sorted(self.callers.not_run_bills):
            record = ledger.record_of(bill)
            billed = record is not None and record.answered
            counts.check("billing", not billed, f"{bill} was not run and is billed")


def _cancel_all(loop: Any) -> None:
    """End what still runs, so that nothing outlives the loop."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
