"""Operators' changes while the way to the log is slow and the backlog is long."""

import asyncio

from acaciacove.gateway.catalogue.repetition import Repetition
from tests.gateway_world import catalogue, route, run_fleet

# A link of 10 Mbit/s.
LINK_BYTES_PER_S = 1.25e6
# The stated bound from an acknowledged change to its being in force.
IN_FORCE_S = 3.0
# With this many additional routes, a catalogue takes some 200 kB.
ADDITIONAL_ROUTES = 450
CHANGES = 40


def large_catalogue(version):
    """Return a catalogue of hundreds of routes."""
    added = tuple(
        route(f"added-{number}", "app", Repetition.REPEATABLE)
        for number in range(ADDITIONAL_ROUTES)
    )
    base = catalogue(version)
    return catalogue(version, routes=base.routes + added)


def versions_of(fleet):
    return {
        name: running.gateway.view.catalogue.version
        for name, running in fleet.gateways.items()
    }


def test_a_backlog_longer_than_one_reply_is_caught_up_with():
    """Guards against a gateway whose every read of a long backlog is cut off by the
    time for one reply, and begins anew from the same offset: it never has the newest
    change.
    """

    async def scenario(fleet):
        fleet.store.link_bytes_per_s = LINK_BYTES_PER_S
        fleet.store.down = "busy"
        for version in range(2, 2 + CHANGES):
            fleet.publish(large_catalogue(version))
            await asyncio.sleep(0.1)
        fleet.store.down = None
        await asyncio.sleep(IN_FORCE_S)
        return versions_of(fleet)

    seen = run_fleet(scenario, gateways=3)
    assert set(seen.values()) == {1 + CHANGES}, seen


def test_part_of_a_backlog_does_not_confirm_the_view():
    """Guards against a gateway that takes an old version for the newest, because the
    reply that it read ended before the end of the log.
    """

    async def scenario(fleet):
        view = fleet.gateways["gateway-0"].gateway.view
        fleet.store.down = "busy"
        for version in range(2, 2 + CHANGES):
            fleet.publish(large_catalogue(version))
        published_s = fleet.boot_time_s()
        await asyncio.sleep(1.0)
        fleet.store.down = None
        fleet.store.link_bytes_per_s = 4 * LINK_BYTES_PER_S
        early = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            version = view.catalogue.version
            if version <= CHANGES and view.confirmed_boot_s > published_s:
                early.append(version)
        return early, view.catalogue.version

    early, last = run_fleet(scenario)
    assert early == []
    assert last == 1 + CHANGES
