"""Roll-out of a version on running daemons: ratings, loading and withdrawal."""

import asyncio

import orjson
from attrs import evolve

from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.release_note import ReleaseNote
from tests.embedded import SMALL, embedded_fleet, run, until

CHAT = "/v1/chat/completions"
NEW = VersionId("guide-small", "2")


def question(number):
    message = {"role": "user", "content": f"Any creeks near bridge {number}?"}
    return orjson.dumps({"model": "guide", "messages": [message], "max_tokens": 4})


async def roll_out(fleet, first_share):
    """Make the engines serve a new version and declare it."""
    for engine in fleet.engines.values():
        engine.versions.add(str(NEW))
    version = Version(NEW, "guide", 1.0, 0.7, 8, 8, replaces=SMALL)
    version = evolve(version, first_share=first_share)
    offset = fleet.publish(ReleaseNote("note-2", 0, versions=(version,)))
    entry = fleet.entries[0].shared
    await until(lambda: entry.fleet_store.revision >= offset)


async def post_until(fleet, condition, limit=4000):
    for number in range(limit):
        if condition():
            return
        response = await fleet.post(CHAT, question(number))
        await response.content()


def test_a_version_with_poor_ratings_is_quarantined_everywhere():
    # Operators roll out a version whose answers rate a third worse. No request fails:
    # only the ratings show the loss, and they must quarantine the version.
    async def test():
        async with embedded_fleet(services=0, rated=True, extra=(NEW,)) as fleet:
            fleet.rating.qualities = {str(SMALL): 0.8, str(NEW): 0.5}
            await roll_out(fleet, 0.3)
            state = fleet.entries[0].shared.fleet_store
            await post_until(fleet, lambda: NEW in state.state.quarantines)
            assert "rating" in state.state.quarantines[NEW].reason
            sidecars = [s.shared.fleet_store for s in fleet.sidecars.values()]
            await until(lambda: all(NEW in h.state.quarantines for h in sidecars))
            before = [
                e.counters.started_by_version[str(NEW)] for e in fleet.engines.values()
            ]
            for number in range(20):
                await fleet.post(CHAT, question(number))
            after = [
                e.counters.started_by_version[str(NEW)] for e in fleet.engines.values()
            ]
            assert before == after

    run(test)


def test_a_version_with_good_ratings_reaches_full_exposure():
    async def test():
        async with embedded_fleet(services=0, rated=True, extra=(NEW,)) as fleet:
            fleet.rating.qualities = {str(SMALL): 0.8, str(NEW): 0.8}
            await roll_out(fleet, 0.3)
            state = fleet.entries[0].shared.fleet_store
            await post_until(fleet, lambda: state.state.exposures.get(NEW, 0) >= 1.0)
            assert state.state.exposures[NEW] == 1.0
            assert NEW not in state.state.quarantines

    run(test)


def test_rollout_loads_the_new_version_and_withdrawal_unloads_the_old():
    # Operators declare a version that no engine holds yet. Sidecars load it on a few
    # endpoints, then on all, and unload the withdrawn one. No request may fail.
    async def test():
        async with embedded_fleet(models=4, services=0) as fleet:
            version = Version(NEW, "guide", 0.5, 0.7, 8, 8, replaces=SMALL)
            fleet.publish(ReleaseNote("note-2", 0, versions=(version,)))
            engines = fleet.engines.values()

            def engines_with_version():
                return sum(str(NEW) in engine.versions for engine in engines)

            await until(lambda: engines_with_version() == 2)
            for number in range(10):
                response = await fleet.post(CHAT, question(number))
                assert response.status_code == 200
            fleet.publish(ExposureRecord(NEW, 1.0))
            await until(lambda: engines_with_version() == 4)
            fleet.publish(ReleaseNote("note-3", 1, withdrawn=(SMALL,)))
            await until(lambda: not any(str(SMALL) in e.versions for e in engines))
            for number in range(10):
                response = await fleet.post(CHAT, question(number))
                assert response.status_code == 200
                assert response.headers["x-version"] == str(NEW)

    run(test)


def test_an_engine_gets_no_stale_load_order():
    # The engine ignores fencing numbers. A sidecar that waits for a version's weights
    # while the version is withdrawn must not load it afterwards.
    async def test():
        async with embedded_fleet(models=1, services=0, weights=True) as fleet:
            fleet.weights.next_at_s = asyncio.get_running_loop().time() + 2.0
            version = Version(NEW, "guide", 0.5, 0.7, 8, 8, replaces=SMALL)
            fleet.publish(ReleaseNote("note-2", 0, versions=(version,)))
            await until(lambda: fleet.weights.acquire_calls > 0)
            offset = fleet.publish(ReleaseNote("note-3", 1, withdrawn=(NEW,)))
            fleet_store = fleet.sidecars["guide-0"].shared.fleet_store
            await until(lambda: fleet_store.revision == offset)
            await asyncio.sleep(4.0)
            assert not fleet.weights.permits
            assert str(NEW) not in fleet.engines["guide-0"].versions

    run(test)
