"""Membership reflects changes of the fleet sooner than the platform's list."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.messages.digest import Digest
from acaciacove.reason import Reason
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.membership import Membership
from acaciacove.state.membership_settings import MembershipSettings
from acaciacove.state.release_gossip import ReleaseGossip
from acaciacove.state.release_gossip_settings import ReleaseGossipSettings

LIVE, LEAVING = InstanceStatus.LIVE, InstanceStatus.LEAVING


def instance(name, incarnation=1, status=LIVE):
    zone = "ozark" if name.endswith(("0", "2", "4")) else "gulfcoast"
    return Instance(
        name, Role.ENDPOINT, "south", zone, "127.0.0.1", 1, incarnation, status
    )


def create_membership(*instances, now_s=0.0):
    membership = Membership(MembershipSettings())
    membership.on_list(list(instances), now_s)
    return membership


def usable_names(membership):
    return {i.name for i in membership.usable()}


class SimulatedFleet:
    """Processes that exchange digests, with a simulated clock."""

    def __init__(self, size, seed):
        self.random = Random(seed)
        self.listed = [instance(f"e{n}") for n in range(size)]
        self.status = {i.name: LIVE for i in self.listed}
        self.paused = set()
        self.now_s = 0.0
        self.members, self.gossips = {}, {}
        for me in self.listed:
            self.members[me.name] = create_membership(*self.listed)
            self.members[me.name].set_watched(i.name for i in self.listed if i != me)
            self.gossips[me.name] = self._create_gossip(me)

    def _create_gossip(self, me):
        return ReleaseGossip(
            me, FleetStore(), ReleaseGossipSettings(), Random(me.name),
            lambda: self.status[me.name],
            lambda: self.members[me.name].evidence(self.now_s),
        )  # fmt: skip

    def step(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now_s += 0.1
            for name, release_gossip in self.gossips.items():
                if name in self.paused:
                    continue
                members = self.members[name]
                if round(self.now_s * 10) % 10 == 0:
                    members.on_list(self.listed, self.now_s)
                members.check_timeouts(self.now_s)
                for out in release_gossip.tick(self.now_s, members.peers()):
                    self._deliver(name, out)
                for probed in members.due_probes(self.now_s):
                    if probed.name != name and probed.name not in self.paused:
                        self._deliver_digest(probed.name, name)

    def leave(self, name):
        self.status[name] = LEAVING
        release_gossip = self.gossips[name]
        for out in release_gossip.announce_status(self.members[name].peers(), 6):
            self._deliver(name, out)

    def _deliver(self, sender, out):
        if out.instance not in self.paused and isinstance(out.message, Digest):
            self.members[out.instance].on_digest(out.message, self.now_s)

    def _deliver_digest(self, sender, receiver):
        evidence = self.members[sender].evidence(self.now_s)
        digest = Digest(sender, 1, -1, self.status[sender], False, evidence)
        self.members[receiver].on_digest(digest, self.now_s)

    def usable_for(self, name):
        return [
            n for n, m in self.members.items() if n != name and name in usable_names(m)
        ]


def test_leaving_endpoint_gets_no_new_work_after_3_s_despite_a_stale_list():
    # The platform stops an instance, but lists it as live for another minute.
    # Requests sent to it would be interrupted when it ends.
    fleet = SimulatedFleet(40, seed=1)
    fleet.step(3)
    fleet.leave("e7")
    fleet.step(3)
    assert fleet.usable_for("e7") == []
    fleet.step(10)
    assert fleet.usable_for("e7") == []


def test_paused_endpoint_gets_no_new_work_after_3_s_and_recovers():
    # A paused machine keeps its connections open but does not reply. Requests sent
    # to it would run into their deadlines.
    fleet = SimulatedFleet(30, seed=2)
    fleet.step(3)
    fleet.paused.add("e7")
    fleet.step(3)
    assert fleet.usable_for("e7") == []
    fleet.paused.clear()
    fleet.step(3)
    assert len(fleet.usable_for("e7")) == 29


def test_false_list_neither_removes_a_live_endpoint_nor_revives_a_dead_one():
    # The list has e1 as leaving although it serves, lacks e2, and has e3 as live
    # although it refuses connections.
    fleet = SimulatedFleet(12, seed=3)
    fleet.step(3)
    fleet.listed = [
        instance("e1", status=LEAVING) if i.name == "e1" else i
        for i in fleet.listed
        if i.name != "e2"
    ]
    fleet.paused.add("e3")
    for name in ("e0", "e1"):
        fleet.members[name].record_connect_failure("e3", fleet.now_s)
        assert "e3" not in usable_names(fleet.members[name])
    fleet.step(6)
    assert len(fleet.usable_for("e1")) == 11
    assert len(fleet.usable_for("e2")) == 11
    assert fleet.usable_for("e3") == []


def test_reports_on_an_old_incarnation_are_ignored():
    # An endpoint is replaced by one of the same name. A late report that the old
    # one is leaving must not exclude the new one.
    membership = create_membership(instance("e1"))
    membership.record_refusal("e1", 1, Reason.LEAVING, 1.0)
    assert usable_names(membership) == set()
    membership.record_message("e1", 1, 1.5)
    assert usable_names(membership) == set()
    membership.record_message("e1", 2, 2.0)
    assert usable_names(membership) == {"e1"}
    membership.on_digest(Digest("e0", 1, 0, "live", peers=("e1/1/leaving",)), 2.1)
    membership.on_list([instance("e1", 1)], 2.2)
    assert usable_names(membership) == {"e1"}
    assert membership.is_gone("e1", 1) and not membership.is_gone("e1", 2)


def test_malformed_evidence_in_a_digest_is_ignored():
    membership = create_membership(instance("e1"))
    for text in ("", "e1", "e1/x/leaving", "e1/1/melted", "//"):
        membership.on_digest(Digest("e9", 1, 0, "live", peers=(text,)), 1.0)
    assert usable_names(membership) == {"e1"}


@given(st.lists(st.tuples(st.sampled_from(
    ["fail", "live", "leaving", "new", "list", "unlist", "report", "silence"]),
    st.integers(1, 4)), max_size=30))  # fmt: skip
@settings(derandomize=True, deadline=None, max_examples=150)
def test_leaving_is_final_for_an_incarnation(events):
    membership = create_membership(instance("e1"))
    membership.set_watched(["e1"])
    left_incarnations, now_s = set(), 0.0
    for event, incarnation in events:
        now_s += 0.7
        match event:
            case "fail":
                membership.record_connect_failure("e1", now_s)
                assert usable_names(membership) == set()
            case "live" | "new":
                membership.record_message("e1", incarnation, now_s)
            case "leaving":
                membership.record_message("e1", incarnation, now_s, LEAVING)
                left_incarnations.add(incarnation)
            case "list":
                membership.on_list([instance("e1", incarnation)], now_s)
            case "unlist":
                membership.on_list([], now_s)
            case "report":
                text = f"e1/{incarnation}/leaving"
                membership.on_digest(Digest("e0", 1, 0, "live", peers=(text,)), now_s)
                left_incarnations.add(incarnation)
            case "silence":
                now_s += 3.0
                membership.check_timeouts(now_s)
                assert usable_names(membership) == set()
        for used in membership._members.values():
            assert used.state != "live" or used.incarnation not in left_incarnations


def test_starting_instance_is_probed_again_within_a_second():
    # An instance reports that it is starting and becomes ready right afterwards. It
    # does not announce this, and the next list takes minutes in a large fleet. Without
    # a probe it would receive no requests for all that time.
    membership = create_membership(instance("e1"))
    membership.record_message("e1", 2, 1.0, InstanceStatus.STARTING)
    assert usable_names(membership) == set()
    assert [i.name for i in membership.due_probes(2.0)] == ["e1"]
    assert membership.due_probes(2.1) == []
    membership.record_message("e1", 2, 2.2, LIVE)
    assert usable_names(membership) == {"e1"}
