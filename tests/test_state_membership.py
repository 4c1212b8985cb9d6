"""Membership follows the fleet faster than the platform's list does."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.messages.digest import Digest
from acaciacove.reason import Reason
from acaciacove.state.fleet_holder import FleetHolder
from acaciacove.state.membership import Membership
from acaciacove.state.membership_settings import MembershipSettings
from acaciacove.state.spread import Spread
from acaciacove.state.spread_settings import SpreadSettings

LIVE, LEAVING = InstanceStatus.LIVE, InstanceStatus.LEAVING


def instance(name, incarnation=1, status=LIVE):
    zone = "ozark" if name.endswith(("0", "2", "4")) else "gulfcoast"
    return Instance(
        name, Role.ENDPOINT, "south", zone, "127.0.0.1", 1, incarnation, status
    )


def known(*instances, now_s=0.0):
    membership = Membership(MembershipSettings())
    membership.on_list(list(instances), now_s)
    return membership


def names(membership):
    return {i.name for i in membership.usable()}


class Fleet:
    """Processes that exchange digests under a clock that is stepped."""

    def __init__(self, size, seed):
        self.random = Random(seed)
        self.listed = [instance(f"e{n}") for n in range(size)]
        self.status = {i.name: LIVE for i in self.listed}
        self.paused = set()
        self.now_s = 0.0
        self.members, self.spreads = {}, {}
        for me in self.listed:
            self.members[me.name] = known(*self.listed)
            self.members[me.name].watch(i.name for i in self.listed if i != me)
            self.spreads[me.name] = self._spread(me)

    def _spread(self, me):
        return Spread(
            me, FleetHolder(), SpreadSettings(), Random(me.name),
            lambda: self.status[me.name],
            lambda: self.members[me.name].evidence(self.now_s),
        )  # fmt: skip

    def step(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now_s += 0.1
            for name, spread in self.spreads.items():
                if name in self.paused:
                    continue
                members = self.members[name]
                if round(self.now_s * 10) % 10 == 0:
                    members.on_list(self.listed, self.now_s)
                members.check(self.now_s)
                for out in spread.tick(self.now_s, members.peers()):
                    self._deliver(name, out)
                for probed in members.to_probe(self.now_s):
                    if probed.name != name and probed.name not in self.paused:
                        self._tell(probed.name, name)

    def leave(self, name):
        self.status[name] = LEAVING
        spread = self.spreads[name]
        for out in spread.announce(self.members[name].peers(), 6):
            self._deliver(name, out)

    def _deliver(self, sender, out):
        if out.instance not in self.paused and isinstance(out.message, Digest):
            self.members[out.instance].on_digest(out.message, self.now_s)

    def _tell(self, sender, receiver):
        evidence = self.members[sender].evidence(self.now_s)
        digest = Digest(sender, 1, -1, self.status[sender], False, evidence)
        self.members[receiver].on_digest(digest, self.now_s)

    def users_of(self, name):
        return [n for n, m in self.members.items() if n != name and name in names(m)]


def test_a_leaving_endpoint_gets_no_new_work_within_3_s_though_the_list_lags():
    # The platform stops an instance; its list says live for another minute. Work
    # sent there would be cut when the instance ends.
    fleet = Fleet(40, seed=1)
    fleet.step(3)
    fleet.leave("e7")
    fleet.step(3)
    assert fleet.users_of("e7") == []
    fleet.step(10)
    assert fleet.users_of("e7") == []


def test_a_paused_endpoint_gets_no_new_work_within_3_s_and_comes_back():
    # A machine freezes: its connections stay open and nothing answers. Callers
    # would wait out their deadlines on it.
    fleet = Fleet(30, seed=2)
    fleet.step(3)
    fleet.paused.add("e7")
    fleet.step(3)
    assert fleet.users_of("e7") == []
    fleet.paused.clear()
    fleet.step(3)
    assert len(fleet.users_of("e7")) == 29


def test_a_list_that_lies_neither_hides_a_live_endpoint_nor_revives_a_dead_one():
    # The list names e1 as leaving though it serves, drops e2, and calls e3 live
    # though connections to it are refused.
    fleet = Fleet(12, seed=3)
    fleet.step(3)
    fleet.listed = [
        instance("e1", status=LEAVING) if i.name == "e1" else i
        for i in fleet.listed
        if i.name != "e2"
    ]
    fleet.paused.add("e3")
    for name in ("e0", "e1"):
        fleet.members[name].connect_failed("e3", fleet.now_s)
        assert "e3" not in names(fleet.members[name])
    fleet.step(6)
    assert len(fleet.users_of("e1")) == 11
    assert len(fleet.users_of("e2")) == 11
    assert fleet.users_of("e3") == []


def test_a_new_incarnation_is_believed_and_old_word_of_it_is_not():
    # An endpoint is replaced under its name. Late word that the old one leaves
    # must not take the new one out for good.
    membership = known(instance("e1"))
    membership.refused("e1", 1, Reason.LEAVING, 1.0)
    assert names(membership) == set()
    membership.heard("e1", 1, 1.5)
    assert names(membership) == set()
    membership.heard("e1", 2, 2.0)
    assert names(membership) == {"e1"}
    membership.on_digest(Digest("e0", 1, 0, "live", peers=("e1/1/leaving",)), 2.1)
    membership.on_list([instance("e1", 1)], 2.2)
    assert names(membership) == {"e1"}
    assert membership.is_gone("e1", 1) and not membership.is_gone("e1", 2)


def test_junk_in_a_digest_changes_nothing():
    membership = known(instance("e1"))
    for text in ("", "e1", "e1/x/leaving", "e1/1/melted", "//"):
        membership.on_digest(Digest("e9", 1, 0, "live", peers=(text,)), 1.0)
    assert names(membership) == {"e1"}


@given(st.lists(st.tuples(st.sampled_from(
    ["fail", "live", "leaving", "new", "list", "hide", "hearsay", "silence"]),
    st.integers(1, 4)), max_size=30))  # fmt: skip
@settings(derandomize=True, deadline=None, max_examples=150)
def test_word_of_leaving_holds_for_its_incarnation_whatever_follows(events):
    membership = known(instance("e1"))
    membership.watch(["e1"])
    left, now_s = set(), 0.0
    for event, incarnation in events:
        now_s += 0.7
        match event:
            case "fail":
                membership.connect_failed("e1", now_s)
                assert names(membership) == set()
            case "live" | "new":
                membership.heard("e1", incarnation, now_s)
            case "leaving":
                membership.heard("e1", incarnation, now_s, LEAVING)
                left.add(incarnation)
            case "list":
                membership.on_list([instance("e1", incarnation)], now_s)
            case "hide":
                membership.on_list([], now_s)
            case "hearsay":
                text = f"e1/{incarnation}/leaving"
                membership.on_digest(Digest("e0", 1, 0, "live", peers=(text,)), now_s)
                left.add(incarnation)
            case "silence":
                now_s += 3.0
                membership.check(now_s)
                assert names(membership) == set()
        for used in membership._members.values():
            assert used.state != "live" or used.incarnation not in left


def test_an_instance_that_said_it_was_starting_is_asked_again_within_a_second():
    # An instance tells its peers that it is starting and becomes ready right after.
    # It has nobody to tell, and in a large fleet the next list is minutes away: its
    # share of the work would go to the others all that time.
    membership = known(instance("e1"))
    membership.heard("e1", 2, 1.0, InstanceStatus.STARTING)
    assert names(membership) == set()
    assert [i.name for i in membership.to_probe(2.0)] == ["e1"]
    assert membership.to_probe(2.1) == []
    membership.heard("e1", 2, 2.2, LIVE)
    assert names(membership) == {"e1"}
