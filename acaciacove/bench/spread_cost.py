"""What the spread costs each process, and how long a release note takes to all."""

import heapq
from collections import Counter
from collections.abc import Iterator
from functools import lru_cache
from random import Random

from attrs import frozen

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.message import Message
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.outgoing_message import OutgoingMessage
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_gossip import ReleaseGossip
from acaciacove.state.release_gossip_settings import ReleaseGossipSettings
from acaciacove.state.release_note import ReleaseNote
from acaciacove.wire.codec import encode

SIZES = (10, 100, 1000)
ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")
UDP_OVERHEAD_BYTES = 28
TICK_S = 0.1
SETTLE_S = 5.0
LIMIT_S = 30.0
DELAY_S = 0.002
LOSS_SHARE = 0.02
VERSIONS_IN_NOTE = 4


@frozen
class SpreadCost:
    """One measurement; bytes are sent ones with IP and UDP headers, by process.

    ``idle_bytes_per_s`` is the mean over processes while nothing changes,
    ``peak_bytes_per_s`` the most that any process sent in the whole run, averaged
    over the run, and ``busiest_second_bytes`` the most that one process sent in
    one second, which is while it passes the note on.
    """

    holders: int
    all_in_force_s: float
    idle_bytes_per_s: float
    peak_bytes_per_s: float
    busiest_second_bytes: int
    note_bytes: int


class _Fleet:
    """ReleaseGossip instances joined by a lossy network; the log is down throughout."""

    def __init__(self, size: int, random: Random) -> None:
        self.random = random
        self.now_s = 0.0
        self.sent: Counter[tuple[str, int]] = Counter()
        self.instances = [_instance(n) for n in range(size)]
        self.holders = [FleetStore() for _ in self.instances]
        settings = ReleaseGossipSettings()
        self.machines = {
            me.name: ReleaseGossip(me, fleet_store, settings, Random(random.random()))
            for me, fleet_store in zip(self.instances, self.holders, strict=True)
        }
        self._sequence = 0
        self._events: list[tuple[float, int, str, str, Message | None]] = []
        for instance in self.instances:
            self._schedule(random.uniform(0, TICK_S), instance.name, "", None)

    def run_until(self, end_s: float) -> Iterator[None]:
        """Advance event by event."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, name, sender, message = heapq.heappop(self._events)
            machine = self.machines[name]
            if message is not None:
                self._send(name, machine.on_message(sender, message, self.now_s))
            else:
                self._schedule(self.now_s + TICK_S, name, "", None)
            self._send(name, machine.tick(self.now_s, self.instances))
            yield

    def _send(self, sender: str, outgoing: list[OutgoingMessage]) -> None:
        for item in outgoing:
            second = int(self.now_s)
            self.sent[sender, second] += _size_bytes(item.message)
            if self.random.random() < LOSS_SHARE:
                continue
            delay_s = DELAY_S * self.random.uniform(0.5, 1.5)
            self._schedule(self.now_s + delay_s, item.instance, sender, item.message)

    def _schedule(
        self, at_s: float, name: str, sender: str, message: Message | None
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_s, self._sequence, name, sender, message))


def measure_spread(holders: int, seed: int) -> SpreadCost:
    """Let one process read a note while the log is down for all others."""
    fleet = _Fleet(holders, Random(seed))
    for fleet_store in fleet.holders:
        fleet_store.offer([LogEntry(0, encode_record(_note("first", -1)))])
    for machine in fleet.machines.values():
        machine.mark_log_caught_up()
    for _ in fleet.run_until(SETTLE_S):
        pass
    idle = sum(fleet.sent.values()) / SETTLE_S / holders
    note = encode_record(_note("second", 0))
    fleet.holders[0].offer([LogEntry(1, note)])
    reached_s = LIMIT_S
    for _ in fleet.run_until(SETTLE_S + LIMIT_S):
        if all(fleet_store.revision == 1 for fleet_store in fleet.holders):
            reached_s = fleet.now_s - SETTLE_S
            break
    for _ in fleet.run_until(2 * SETTLE_S):
        pass
    totals: Counter[str] = Counter()
    for (name, _), size in fleet.sent.items():
        totals[name] += size
    return SpreadCost(
        holders=holders,
        all_in_force_s=reached_s,
        idle_bytes_per_s=idle,
        peak_bytes_per_s=max(totals.values()) / (2 * SETTLE_S),
        busiest_second_bytes=max(fleet.sent.values()),
        note_bytes=len(note),
    )


def measure_sizes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[SpreadCost]:
    """Measure several fleet sizes, to show the slope."""
    return [measure_spread(size, seed) for size in sizes]


@lru_cache(maxsize=8192)
def _size_bytes(message: Message) -> int:
    """Return the bytes that a message takes on the network."""
    return len(encode(message)) + UDP_OVERHEAD_BYTES


def _instance(number: int) -> Instance:
    zone = ZONES[number % len(ZONES)]
    name = f"sidecar-{zone}-{number}"
    return Instance(name, Role.ENDPOINT, "south", zone, "127.0.0.1", 1, 1_700_000_000)


def _note(note_id: str, based_on: int) -> ReleaseNote:
    versions = tuple(
        Version(VersionId("guide-small", f"{note_id}-{n}"), "guide", 1.0)
        for n in range(VERSIONS_IN_NOTE)
    )
    return ReleaseNote(note_id, based_on, "operator", versions=versions)
