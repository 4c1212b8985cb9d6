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
from acaciacove.sidecar.version_orders import SURPLUS_S, VersionOrders
from acaciacove.state.fence_gate import FenceGate
from acaciacove.state.fleet_holder import FleetHolder
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_note import ReleaseNote
from tests.virtual import run_virtual

OLD, NEW = VersionId("guide", "1"), VersionId("guide", "2")
NAMES = [f"guide-{number}" for number in range(4)]
SETTLED_S = SURPLUS_S + 5.0


def endpoint(name):
    return Instance(name, Role.ENDPOINT, "south", "ozark", "h", 1, versions=(OLD,))


class View:
    """The members that one sidecar knows of."""

    def __init__(self, known):
        self.known = set(known)

    def usable(self):
        return [endpoint(name) for name in NAMES if name in self.known]


class FakeEngine:
    async def order(self, order):
        return None


def rolling_out():
    """Return a holder of a release that replaces the first version by a second."""
    holder = FleetHolder()
    first = ReleaseNote("a", -1, versions=(Version(OLD, "guide", 1.0),))
    second = ReleaseNote("b", 0, versions=(Version(NEW, "guide", 1.0, replaces=OLD),))
    holder.offer(
        [LogEntry(0, encode_record(first)), LogEntry(1, encode_record(second))]
    )
    return holder


def orders_of(name, known):
    view = View(known)
    holder = rolling_out()
    me = endpoint(name)
    sidecar = SimpleNamespace(
        is_engine=True,
        holder=holder,
        served=frozenset({OLD}),
        running=Counter(),
        engine=FakeEngine(),
        admission=SimpleNamespace(update=lambda fleet, versions: None),
        shared=SimpleNamespace(
            local_instance=me, membership=view, is_listed=bool(known)
        ),
    )
    gate = FenceGate(lambda: holder.state.release_revision)
    return VersionOrders(sidecar, gate, None, Random(1))


def holding(fleet):
    return sum(NEW in orders.sidecar.served for orders in fleet)


async def settle(fleet):
    tasks = [asyncio.create_task(orders.run()) for orders in fleet]
    await asyncio.sleep(SETTLED_S)
    for task in tasks:
        task.cancel()


def test_copies_loaded_while_peers_were_unknown_are_unloaded_again():
    # Guards against roll-outs that keep more copies than planned after a slow start.
    async def main():
        fleet = [orders_of(name, {name}) for name in NAMES]
        await settle(fleet)
        assert holding(fleet) == len(NAMES)
        for orders in fleet:
            orders.sidecar.shared.membership.known = set(NAMES)
        await settle(fleet)
        assert holding(fleet) == 2

    run_virtual(main)


def test_a_sidecar_that_the_list_does_not_show_yet_loads_nothing():
    # Guards against a roll-out on all endpoints at once when all of them start.
    async def main():
        fleet = [orders_of(name, set()) for name in NAMES]
        await settle(fleet)
        assert holding(fleet) == 0

    run_virtual(main)


def test_a_copy_that_runs_requests_is_kept_until_they_end():
    # Guards against unloading a surplus version under a request.
    async def main():
        fleet = [orders_of(name, {name}) for name in NAMES]
        await settle(fleet)
        for orders in fleet:
            orders.sidecar.running[NEW] = 1
            orders.sidecar.shared.membership.known = set(NAMES)
        await settle(fleet)
        assert holding(fleet) == len(NAMES)

    run_virtual(main)


def test_a_peer_that_is_silent_for_a_moment_moves_no_copy():
    # Guards against loading and unloading in turn while a peer is heard now and then.
    async def main():
        fleet = [orders_of(name, NAMES) for name in NAMES]
        await settle(fleet)
        holders = [orders for orders in fleet if NEW in orders.sidecar.served]
        silent = holders[0].sidecar.shared.local_instance.name
        for orders in fleet:
            orders.sidecar.shared.membership.known.discard(silent)
        await asyncio.sleep(0)
        tasks = [asyncio.create_task(orders.run()) for orders in fleet]
        await asyncio.sleep(1.0)
        for orders in fleet:
            orders.sidecar.shared.membership.known.add(silent)
        await asyncio.sleep(SURPLUS_S / 2.0)
        assert NEW in holders[0].sidecar.served
        for task in tasks:
            task.cancel()

    run_virtual(main)
