"""What entries and sidecars of a promise run have in common."""

import asyncio
from collections.abc import Awaitable, Coroutine
from random import Random
from typing import Any, TypeVar

from attrs import evolve

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.bench.promise_world import PromiseWorld
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.messages.digest import Digest
from acaciacove.messages.message import Message
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.log_tail import LogTail
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings
from acaciacove.state.membership import Membership
from acaciacove.state.membership_settings import MembershipSettings
from acaciacove.state.record import RELEASE_STREAM
from acaciacove.state.release_gossip import ReleaseGossip
from acaciacove.state.release_gossip_settings import ReleaseGossipSettings

STEP_S = 0.1
LIST_S = 1.0
T = TypeVar("T")


class PromiseProcess:
    """One process: the real state code over the run's network and log.

    A paused process stands still at every place where it waits. Breaking the
    promise ``spread`` takes the exchange between peers away.
    """

    def __init__(self, me: Instance, world: PromiseWorld) -> None:
        """Start with nothing but a name."""
        self.me = me
        self.world = world
        self.random = Random(f"{world.seed}/{me.name}/{me.incarnation}")
        self.awake = asyncio.Event()
        self.awake.set()
        self.awake_since_s = self.now_s()
        self.dead = asyncio.Event()
        self.status = InstanceStatus.STARTING
        self.in_flight = 0
        self.fleet_store = FleetStore()
        self.membership = Membership(MembershipSettings())
        self.release_gossip = ReleaseGossip(
            me,
            self.fleet_store,
            ReleaseGossipSettings(),
            self.random,
            lambda: self.status,
            lambda: self.membership.evidence(self.now_s()),
        )
        self.pause_detector = self.release_gossip.pause_detector
        self.tail = LogTail(
            self,
            RELEASE_STREAM,
            self.fleet_store.offer,
            self.fleet_store.note_gap,
            self.random,
            pause_detector=self.pause_detector,
        )
        self.writer = LogWriter(
            self,
            me.name,
            me.incarnation,
            LogWriterSettings(append_timeout_s=1.0),
            self.random,
        )
        self.outbox = BillingOutbox(me.name, self.writer, BillingSettings())
        self._seen = self.fleet_store.state
        self._tasks: set[asyncio.Task[Any]] = set()

    @staticmethod
    def now_s() -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Run the tasks and be reachable."""
        name = self.me.name
        self.world.network.handlers[name] = self._receive
        self.world.network.zones[name] = self.me.availability_zone
        self.spawn(self.writer.run())
        self.spawn(self._follow_log())
        self.spawn(self._step_forever())

    def spawn(self, work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Run something that dies with the process."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self) -> None:
        """End at once, in the middle of whatever is under way."""
        self.dead.set()
        self.world.network.handlers.pop(self.me.name, None)
        for task in [*self._tasks, *self.writer.in_flight_tasks]:
            task.cancel()

    def pause(self) -> None:
        """Stand still until ``wake``."""
        self.awake.clear()

    def wake(self) -> None:
        """Go on."""
        if not self.awake.is_set():
            self.awake_since_s = self.now_s()
            self.awake.set()

    async def step(self, work: Awaitable[T]) -> T:
        """Wait for something; a paused process notices it when it wakes."""
        result = await work
        await self.awake.wait()
        return result

    async def append(self, stream: str, payload: bytes) -> int:
        """Append to the run's log."""
        self._refuse_when_cut()
        return await self.step(self.world.log.append(stream, payload))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float = 0.0
    ) -> list[LogEntry]:
        """Read from the run's log."""
        self._refuse_when_cut()
        return await self.step(self.world.log.read(stream, from_offset, limit, wait_s))

    def send_all(self, outgoing: list[Any]) -> None:
        """Send what a state machine returned."""
        for item in outgoing:
            self.world.network.send(self.me.name, item.instance, item.message)

    def on_data(self, sender: str, revision: int) -> None:
        """Take in the revision that a data message carries."""
        if self.world.broken == "spread":
            return
        pull = self.release_gossip.pull_if_behind(revision)
        if pull is not None:
            self.world.network.send(self.me.name, sender, pull)
        elif self.fleet_store.revision >= revision:
            self.pause_detector.confirm_up_to_date(self.now_s())

    def fleet_in_use(self) -> FleetState:
        """Return the state to decide on, falsified if a promise is to be broken."""
        state = self.fleet_store.state
        match self.world.broken:
            case "withdrawal":
                versions = {
                    name: evolve(version, withdrawn=False)
                    for name, version in state.versions.items()
                }
                return evolve(state, versions=versions, quarantines={})
            case "allowed":
                teams = {
                    name: evolve(team, allowed={"guide": ("*",), "shuttle": ("*",)})
                    for name, team in state.organisations.items()
                }
                return evolve(state, organisations=teams)
            case "drain":
                none: frozenset[str] = frozenset()
                return evolve(state, availability_zones_out=none, instances_out=none)
        return state

    def on_step(self, now_s: float) -> None:
        """Do what the role does in each step."""

    def _refuse_when_cut(self) -> None:
        if not self.world.can_reach_log(self.me.name):
            raise self.world.cut_error()

    async def _receive(self, sender: str, message: Message) -> None:
        await self.awake.wait()
        now_s = self.now_s()
        if isinstance(message, Digest):
            self.membership.on_digest(message, now_s)
        if self.world.broken != "spread":
            self.send_all(self.release_gossip.on_message(sender, message, now_s))
        self._check_state()

    async def _follow_log(self) -> None:
        while True:
            try:
                await self.tail.read_once(0.5)
            except self.world.unavailable:
                await self.step(asyncio.sleep(0.3))
                continue
            self.release_gossip.mark_log_caught_up()
            self._check_state()
            await self.step(asyncio.sleep(0.05))

    async def _step_forever(self) -> None:
        listed_s = -LIST_S
        while True:
            now_s = self.now_s()
            self.pause_detector.tick(now_s)
            if now_s - listed_s >= LIST_S:
                listed_s = now_s
                self.membership.on_list(self.world.listed(), now_s)
            self._step(now_s)
            await self.step(asyncio.sleep(STEP_S))

    def _step(self, now_s: float) -> None:
        self.membership.check_timeouts(now_s)
        if self.status is InstanceStatus.STARTING and self.release_gossip.ready:
            self.status = InstanceStatus.LIVE
        if self.world.broken != "spread":
            self.send_all(self.release_gossip.tick(now_s, self.membership.peers()))
        for probed in self.membership.due_probes(now_s):
            self.world.network.send(
                self.me.name, probed.name, self.release_gossip.digest(reply_wanted=True)
            )
        self.outbox.tick(now_s, self._is_gone)
        self.on_step(now_s)
        self._check_state()

    def _is_gone(self, name: str) -> bool:
        return self.membership.status_of(name) is InstanceStatus.GONE

    def _check_state(self) -> None:
        """Assert that this process never goes back and agrees with the log."""
        state = self.fleet_store.state
        if state is self._seen:
            return
        truth = self.world.truth
        truth.refresh()
        if self.me.availability_zone not in self.world.network.cut_off:
            truth.held(state.revision, self.now_s())
        agrees = state == truth.states[state.revision]
        forward = state.revision > self._seen.revision
        detail = f"{self.me.name} at {state.revision}"
        self.world.counts.check("spread", agrees and forward, detail)
        self._seen = state
