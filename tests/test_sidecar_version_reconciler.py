"""Which versions a sidecar loads and unloads as its view of the fleet changes."""

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.sidecar.version_reconciler import SURPLUS_GRACE_S, VersionReconciler
from acaciacove.state.fence_gate import FenceGate
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_note import ReleaseNote
from tests.virtual import run_virtual

OLD, NEW = VersionId("guide", "1"), VersionId("guide", "2")
NAMES = [f"guide-{number}" for number in range(4)]
SETTLING_S = SURPLUS_GRACE_S + 5.0


def endpoint(name):
    return Instance(name, Role.ENDPOINT, "south", "ozark", "h", 1, versions=(OLD,))


class FakeMembership:
    """The members in the view of one sidecar."""

    def __init__(self, known_names):
        self.known_names = set(known_names)

    def usable(self):
        return [endpoint(name) for name in NAMES if name in self.known_names]


class FakeEngine:
    async def order(self, order):
        return None


def create_roll_out():
    """Return fleet state in which a second version replaces the first."""
    fleet_store = FleetStore()
    first = ReleaseNote("a", -1, versions=(Version(OLD, "guide", 1.0),))
    second = ReleaseNote("b", 0, versions=(Version(NEW, "guide", 1.0, replaces=OLD),))
    fleet_store.offer(
        [LogEntry(0, encode_record(first)), LogEntry(1, encode_record(second))]
    )
    return fleet_store


def build_reconciler(name, known_names):
    membership = FakeMembership(known_names)
    fleet_store = create_roll_out()
    me = endpoint(name)
    sidecar = SimpleNamespace(
        is_engine=True,
        fleet_store=fleet_store,
        served=frozenset({OLD}),
        running_by_version=Counter(),
        engine=FakeEngine(),
        admission=SimpleNamespace(update=lambda fleet, versions: None),
        shared=SimpleNamespace(
            local_instance=me, membership=membership, is_listed=bool(known_names)
        ),
    )
    gate = FenceGate(lambda: fleet_store.state.release_revision)
    return VersionReconciler(sidecar, gate, None, Random(1))


def count_loaded(fleet):
    return sum(NEW in reconciler.sidecar.served for reconciler in fleet)


async def run_until_settled(fleet):
    tasks = [asyncio.create_task(reconciler.run()) for reconciler in fleet]
    await asyncio.sleep(SETTLING_S)
    for task in tasks:
        task.cancel()


def test_surplus_versions_are_unloaded_once_all_peers_are_known():
    # Guards against more loaded copies than planned. Endpoints that do not know their
    # peers at the start each load the version.
    async def main():
        fleet = [build_reconciler(name, {name}) for name in NAMES]
        await run_until_settled(fleet)
        assert count_loaded(fleet) == len(NAMES)
        for reconciler in fleet:
            reconciler.sidecar.shared.membership.known_names = set(NAMES)
        await run_until_settled(fleet)
        assert count_loaded(fleet) == 2

    run_virtual(main)


def test_unlisted_sidecar_loads_no_version():
    # Guards against loading a new version on all endpoints at once when all of them
    # start with an empty view.
    async def main():
        fleet = [build_reconciler(name, set()) for name in NAMES]
        await run_until_settled(fleet)
        assert count_loaded(fleet) == 0

    run_virtual(main)


def test_surplus_version_with_running_requests_is_not_unloaded():
    # Guards against unloading a surplus version while it runs a request.
    async def main():
        fleet = [build_reconciler(name, {name}) for name in NAMES]
        await run_until_settled(fleet)
        for reconciler in fleet:
            reconciler.sidecar.running_by_version[NEW] = 1
            reconciler.sidecar.shared.membership.known_names = set(NAMES)
        await run_until_settled(fleet)
        assert count_loaded(fleet) == len(NAMES)

    run_virtual(main)


def test_briefly_silent_peer_causes_no_unload():
    # Guards against alternate loading and unloading while a peer is reachable only
    # intermittently.
    async def main():
        fleet = [build_reconciler(name, NAMES) for name in NAMES]
        await run_until_settled(fleet)
        holders = [
            reconciler for reconciler in fleet if NEW in reconciler.sidecar.served
        ]
        silent_name = holders[0].sidecar.shared.local_instance.name
        for reconciler in fleet:
            reconciler.sidecar.shared.membership.known_names.discard(silent_name)
        await asyncio.sleep(0)
        tasks = [asyncio.create_task(reconciler.run()) for reconciler in fleet]
        await asyncio.sleep(1.0)
        for reconciler in fleet:
            reconciler.sidecar.shared.membership.known_names.add(silent_name)
        await asyncio.sleep(SURPLUS_GRACE_S / 2.0)
        assert NEW in holders[0].sidecar.served
        for task in tasks:
            task.cancel()

    run_virtual(main)
