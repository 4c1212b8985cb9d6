"""Local copy of the shared state in every process, and the tasks that update it."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from socket import socket
from time import time_ns
from typing import Any

from attrs import define, field

from acaciacove.adapters.http_instance_list import HttpInstanceList
from acaciacove.adapters.http_log import HttpLog
from acaciacove.daemon.append_share import append_share
from acaciacove.daemon.background import background
from acaciacove.daemon.follow_instances import follow_instances
from acaciacove.daemon.peer_network import PeerNetwork
from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.messages.hello import Hello
from acaciacove.messages.refused import Refused
from acaciacove.reason import Reason
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.log_health import LogHealth
from acaciacove.state.log_tail import LogTail
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings
from acaciacove.state.membership import Membership
from acaciacove.state.membership_settings import MembershipSettings
from acaciacove.state.priority import Priority
from acaciacove.state.record import RELEASE_STREAM
from acaciacove.state.release_gossip import ReleaseGossip
from acaciacove.state.release_gossip_settings import ReleaseGossipSettings
from acaciacove.state.snapshot_schedule import SnapshotSchedule

NS_PER_MS = 1_000_000
SNAPSHOT_CHECK_INTERVAL_S = 5.0
READY_POLL_INTERVAL_S = 0.05


@define(eq=False)
class SharedState:
    """Release stream, membership and log of one process.

    ``list_received`` is set once the instance list has been fetched. The callback
    ``on_change`` of ``build_shared_state`` is called after each new revision and each
    change of the usable instances.
    """

    local_instance: Instance
    fleet_store: FleetStore
    membership: Membership
    release_gossip: ReleaseGossip
    network: PeerNetwork
    log: HttpLog
    writer: LogWriter
    tail: LogTail
    listing: HttpInstanceList
    snapshots: SnapshotSchedule
    health: LogHealth
    list_received: asyncio.Event = field(factory=asyncio.Event)

    @asynccontextmanager
    async def running(self, udp_socket: socket) -> AsyncIterator[None]:
        """Update the state while the block runs; takes ownership of the UDP socket."""
        async with (
            self.network.opened(udp_socket),
            background(
                self.tail.run(),
                self._report_catch_up(),
                self.writer.run(),
                self.network.run(),
                self._append_snapshots(),
                follow_instances(self.listing, self._on_list),
            ),
        ):
            yield

    def hello(self) -> Hello:
        """Build the first message of a connection."""
        return Hello(
            self.local_instance.name,
            self.local_instance.incarnation,
            self.local_instance.role,
            self.local_instance.availability_zone,
            self.fleet_store.revision,
        )

    def record_message(self, peer: Hello | None) -> None:
        """Record that a message arrived from the peer of a connection."""
        if peer is not None:
            self.membership.record_message(peer.instance, peer.incarnation, _now_s())

    def connection_lost(self, name: str) -> None:
        """Record that connecting to an instance failed or its connection was lost."""
        self.membership.record_connect_failure(name, _now_s())

    def record_refusal(self, peer: Hello | None, name: str, refused: Refused) -> None:
        """Update the membership with a refusal by an instance."""
        if refused.reason == Reason.CONNECTION_LOST:
            self.connection_lost(name)
        elif peer is not None:
            reason = Reason(refused.reason)
            self.membership.record_refusal(name, peer.incarnation, reason, _now_s())

    @property
    def is_listed(self) -> bool:
        """Return whether the platform's list has contained this instance.

        Until then the list may be older than the fleet that this process belongs to.
        """
        return self.membership.find(self.local_instance.name) is not None

    @property
    def may_decide(self) -> bool:
        """Return whether the local state is current; it is not right after a pause."""
        return self.release_gossip.pause_detector.may_decide(_now_s())

    async def ready(self) -> None:
        """Wait until the state is caught up and a release note is in force."""
        while (
            not self.release_gossip.ready or self.fleet_store.state.release_revision < 0
        ):
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def wait_for_instance_list(self) -> None:
        """Wait until the instance list has been fetched once.

        The log may be read to its end before the list arrives. An entry that accepted
        callers then would know every release but no endpoint. It would refuse them
        with "no endpoint" although the complete fleet is ready.
        """
        await self.list_received.wait()

    def _on_list(self, listed: list[Instance]) -> None:
        self.list_received.set()
        self.membership.on_list(listed, asyncio.get_running_loop().time())

    async def _report_catch_up(self) -> None:
        await self.tail.caught_up.wait()
        self.release_gossip.mark_log_caught_up()

    async def _append_snapshots(self) -> None:
        """Append a snapshot of the state before the records that it covers expire."""
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            payload = self.snapshots.snapshot_if_due(asyncio.get_running_loop().time())
            if payload is not None:
                self.writer.submit(RELEASE_STREAM, payload, Priority.DECISION)


def build_shared_state(
    local_instance: Instance,
    lifecycle: ProcessLifecycle,
    log: HttpLog,
    listing: HttpInstanceList,
    rng: Random,
    on_change: Callable[[], None],
) -> SharedState:
    """Build the parts of the shared state; ``running`` starts its tasks."""
    fleet_store = FleetStore()
    health = LogHealth()
    writer = LogWriter(
        log,
        local_instance.name,
        local_instance.incarnation,
        LogWriterSettings(),
        rng,
        health,
    )

    def changed() -> None:
        writer.configure(append_share(membership.usable(), fleet_store.state))
        on_change()

    fleet_store.add_listener(lambda _: changed())
    membership = Membership(MembershipSettings(), changed)

    def evidence() -> tuple[str, ...]:
        return membership.evidence(asyncio.get_running_loop().time())

    def status() -> InstanceStatus:
        if lifecycle.is_shutting_down:
            return InstanceStatus.LEAVING
        ready = lifecycle.accepts_callers
        return InstanceStatus.LIVE if ready else InstanceStatus.STARTING

    release_gossip = ReleaseGossip(
        local_instance, fleet_store, ReleaseGossipSettings(), rng, status, evidence
    )
    tail = LogTail(
        log,
        RELEASE_STREAM,
        fleet_store.offer,
        fleet_store.note_gap,
        rng,
        health,
        process_count=lambda: len(membership.usable()) + 1,
        pause_detector=release_gossip.pause_detector,
    )
    fleet_store.add_listener(lambda _: tail.advance_to(fleet_store.next_offset))
    return SharedState(
        local_instance=local_instance,
        fleet_store=fleet_store,
        membership=membership,
        release_gossip=release_gossip,
        network=PeerNetwork(local_instance, release_gossip, membership, fleet_store),
        log=log,
        writer=writer,
        tail=tail,
        listing=listing,
        snapshots=SnapshotSchedule(fleet_store, local_instance.name, rng),
        health=health,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def new_incarnation() -> int:
    """Return a number that increases with each start of a process of one name."""
    return time_ns() // NS_PER_MS


def describe_shared_state(shared: SharedState) -> dict[str, Any]:
    """Return the shared part of ``/status``."""
    return {
        "revision": shared.fleet_store.revision,
        "release_revision": shared.fleet_store.state.release_revision,
        "log": shared.health.status.value,
        "usable_instances": len(shared.membership.usable()),
        "control_bytes": shared.network.control_bytes,
    }
