"""Gossip of releases reaches every process, at a constant cost per process."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.bench.spread_cost import measure_spread
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.messages.digest import Digest
from acaciacove.messages.pull import Pull
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_gossip import ReleaseGossip
from acaciacove.state.release_gossip_settings import ReleaseGossipSettings
from acaciacove.state.zone_decision import ZoneDecision


def instance(name, zone="ozark"):
    return Instance(name, Role.ENTRY, "south", zone, "127.0.0.1", 1, 1)


def create_gossip(name, zone="ozark", offsets=0):
    fleet_store = FleetStore()
    fleet_store.offer([LogEntry(n, encoded_decision(n)) for n in range(offsets)])
    me = instance(name, zone)
    return ReleaseGossip(
        me, fleet_store, ReleaseGossipSettings(), Random(name)
    ), fleet_store


def encoded_decision(number):
    return encode_record(ZoneDecision(f"d{number}", f"zone-{number}", True))


def test_release_note_reaches_a_thousand_processes_within_3_s():
    # The log goes down right after one process has read the release note. The other
    # processes must not serve requests with a withdrawn version.
    small, large = measure_spread(100, seed=5), measure_spread(1000, seed=5)
    assert large.all_in_force_s <= 3.0
    assert large.peak_bytes_per_s <= 1024.0
    assert large.idle_bytes_per_s <= 1.1 * small.idle_bytes_per_s


@given(
    st.integers(0, 2**32),
    st.integers(2, 12),
    st.floats(0.0, 0.6),
    st.booleans(),
)
@settings(derandomize=True, deadline=None, max_examples=30)
def test_processes_converge_despite_lost_duplicated_and_reordered_messages(
    seed, size, loss, cut_off
):
    # Messages are lost, duplicated or delayed, and one zone is partitioned for a while.
    # Without the pull after a digest, a process would stay behind. With a wrong pull,
    # it would return to an older release.
    random = Random(seed)
    zones = ["ozark" if n % 2 else "gulfcoast" for n in range(size)]
    gossips, fleet_stores = {}, {}
    for number, zone in enumerate(zones):
        name = f"e{number}"
        gossips[name], fleet_stores[name] = create_gossip(name, zone)
    peers = [instance(f"e{n}", zone) for n, zone in enumerate(zones)]
    highest = dict.fromkeys(fleet_stores, -1)
    in_flight = []
    published = 0
    for step in range(1000):
        now_s = step * 0.1
        if step < 50 and step % 7 == 0:
            published += 1
            reader = fleet_stores[f"e{random.randrange(size)}"]
            unread = range(reader.next_offset, published)
            reader.offer([LogEntry(n, encoded_decision(n)) for n in unread])
        for name, release_gossip in gossips.items():
            in_flight += [(name, out) for out in release_gossip.tick(now_s, peers)]
        random.shuffle(in_flight)
        arriving, in_flight = in_flight[: 3 * size], in_flight[3 * size :]
        for sender, out in arriving:
            apart = zones[int(sender[1:])] != zones[int(out.instance[1:])]
            if random.random() < loss or (cut_off and apart and step < 200):
                continue
            for _ in range(random.choice([1, 1, 2])):
                replies = gossips[out.instance].on_message(sender, out.message, now_s)
                in_flight += [(out.instance, reply) for reply in replies]
        for name, fleet_store in fleet_stores.items():
            assert fleet_store.revision >= highest[name]
            highest[name] = fleet_store.revision
        if step > 200 and set(highest.values()) == {published - 1}:
            break
    assert {s.revision for s in fleet_stores.values()} == {published - 1}
    assert len({s.state.availability_zones_out for s in fleet_stores.values()}) == 1


def test_new_process_during_a_log_outage_waits_for_the_highest_peer_revision():
    # The log is down while instances are replaced. A process that relied on the first
    # peer alone would start with an old release and serve withdrawn versions.
    fresh, fleet_store = create_gossip("fresh")
    behind, ahead = (
        create_gossip("behind", offsets=3),
        create_gossip("ahead", offsets=5),
    )
    peers = {"behind": behind[0], "ahead": ahead[0]}
    assert not fresh.ready
    for name in ("behind", "ahead"):
        digest = Digest(name, 1, peers[name]._fleet_store.revision, "live")
        for out in fresh.on_message(name, digest, 0.0 if name == "behind" else 9.0):
            for reply in peers[out.instance].on_message("fresh", out.message, 0.0):
                fresh.on_message(out.instance, reply.message, 9.0)
        assert fresh.ready is (name == "ahead")
    assert fleet_store.revision == 4


def test_live_peer_answers_a_starting_process():
    # Otherwise a new process that no peer is ahead of would never receive digests from
    # enough peers, and would refuse every request until the log is available again.
    live, _ = create_gossip("live", offsets=2)
    hello = Digest("fresh", 1, 1, InstanceStatus.STARTING, reply_wanted=True)
    (reply,) = live.on_message("fresh", hello, 0.0)
    assert reply.message.revision == 1


def test_newer_revision_in_a_data_message_causes_a_pull():
    # A process resumes after a pause of minutes and receives a request before the next
    # digest. It must pull the records that it missed.
    paused, _ = create_gossip("paused", offsets=2)
    assert paused.pull_if_behind(1) is None
    assert paused.pull_if_behind(7) == Pull(2)
