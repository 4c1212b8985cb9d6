"""Tests of the stand-ins: they fail in the ways in which the platform does."""

import asyncio
from random import Random

import pytest

from acaciacove.adapters.http_client import open_client
from acaciacove.adapters.http_instance_list import HttpInstanceList
from acaciacove.adapters.http_log import HttpLog
from acaciacove.adapters.http_rating_service import HttpRatingService
from acaciacove.adapters.http_service import HttpService
from acaciacove.adapters.http_weight_store import HttpWeightStore
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.errors import (
    OffsetExpiredError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId
from acaciacove.reason import Reason
from acaciacove.standins.engine_profile import EngineProfile
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.instance_list_app import build_instance_list_app
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_app import build_log_app
from acaciacove.standins.log_state import LogState
from acaciacove.standins.prefix_cache import PrefixCache
from acaciacove.standins.rating_app import build_rating_app
from acaciacove.standins.rating_state import RatingState
from acaciacove.standins.serve import serve
from acaciacove.standins.service_app import build_service_app
from acaciacove.standins.service_state import ServiceState
from acaciacove.standins.weight_store_app import build_weight_store_app
from acaciacove.standins.weight_store_state import WeightStoreState


def run_with_app(app, use):
    """Run ``use(url, client)`` against an application."""

    async def run():
        client = open_client()
        async with serve(app) as port:
            result = await use(f"http://127.0.0.1:{port}", client)
            await client.aclose()
            return result

    return asyncio.run(run())


def test_log_retains_order_and_wakes_waiting_readers():
    async def use(url, client):
        log = HttpLog(url, client)
        waiting = asyncio.create_task(log.read("release", 0, 10, wait_s=30))
        offsets = [await log.append("release", bytes([n])) for n in range(3)]
        first = await waiting
        return offsets, first, await log.read("release", 0, 10)

    offsets, first, records = run_with_app(build_log_app(LogState()), use)
    assert offsets == [0, 1, 2]
    assert first[0].payload == b"\x00"
    assert [(r.offset, r.payload) for r in records] == list(
        enumerate([b"\x00", b"\x01", b"\x02"])
    )


def test_append_with_a_lost_reply_is_stored():
    # The log stores a record and its reply is lost. A client that treats this as a
    # failed append would append twice, or report to a caller that nothing was done.
    state = LogState()
    state.faults.lose_replies = 1

    async def use(url, client):
        log = HttpLog(url, client)
        with pytest.raises(PlatformUnavailableError) as caught:
            await log.append("claims", b"c")
        return caught.value, await log.read("claims", 0, 1)

    error, records = run_with_app(build_log_app(state), use)
    assert not isinstance(error, PlatformRefusedError)
    assert [record.payload for record in records] == [b"c"]


def test_the_log_expires_records_and_limits_its_rate():
    state = LogState()
    state.faults.keep_records = 2

    async def use(url, client):
        log = HttpLog(url, client)
        for n in range(5):
            await log.append("s", bytes([n]))
        with pytest.raises(OffsetExpiredError) as caught:
            await log.read("s", 0, 10)
        state.faults.appends_per_s = 0.001
        with pytest.raises(PlatformRefusedError):
            await log.append("s", b"")
        state.faults.outage = True
        with pytest.raises(PlatformUnavailableError):
            await log.read("s", 4, 10)
        return caught.value.earliest_offset

    assert run_with_app(build_log_app(state), use) == 3


def test_instance_list_faults_delay_hide_and_misreport():
    entry = Instance("e1", Role.ENTRY, "r", "ozark", "127.0.0.1", 1, versions=())
    sidecar = Instance(
        "s1", Role.ENDPOINT, "r", "ozark", "127.0.0.1", 2, 7, InstanceStatus.LEAVING,
        (VersionId("m", "1"),),
    )  # fmt: skip
    state = InstanceListState()

    async def use(url, client):
        now_s = asyncio.get_running_loop().time()
        state.publish(now_s - 10, (entry, sidecar))
        state.publish(now_s, (entry,))
        instances = HttpInstanceList(url, client)
        fresh = await instances.fetch()
        state.faults.lag_s = 5
        late = await instances.fetch()
        state.faults.hidden = ["e1"]
        state.faults.called_live = ["s1"]
        return fresh, late, await instances.fetch()

    fresh, late, wrong = run_with_app(build_instance_list_app(state), use)
    assert fresh == [entry]
    assert late == [entry, sidecar]
    assert [(i.name, i.status) for i in wrong] == [("s1", InstanceStatus.LIVE)]


def test_weight_store_grants_one_load_per_interval():
    async def use(url, client):
        store = HttpWeightStore(url, client)
        return [await store.acquire("m@1") for _ in range(3)]

    state = WeightStoreState(load_interval_s=9)
    waits = run_with_app(build_weight_store_app(state), use)
    assert waits[0] == 0
    assert 0 < waits[2] <= waits[1] <= 9
    assert state.permits == {"m@1": 1}


def test_ratings_are_delayed_sampled_and_biased():
    state = RatingState(Random(1), qualities={"m@1": 0.6})
    state.faults.sampled_share = 0.5
    state.faults.bias = 0.3

    async def use(url, client):
        ratings = HttpRatingService(url, client)
        for n in range(100):
            await ratings.submit(f"r{n}", "m@1", "chat", "text")
        seen = await ratings.fetch(0, 1000)
        state.faults.delay_s = 1000
        await ratings.submit("late", "m@1", "chat", "text")
        return seen, await ratings.fetch(seen[-1].sequence, 1000)

    seen, later = run_with_app(build_rating_app(state), use)
    assert 30 < len(seen) < 70
    assert 0.8 < sum(r.score for r in seen) / len(seen) < 1.0
    assert later == []


@pytest.mark.parametrize(
    "fault, reason, effects",
    [
        ("drop_after_effect", Reason.CONNECTION_LOST, 1),
        ("drop_before_effect", Reason.CONNECTION_LOST, 0),
        ("hang_after_effect", Reason.DEADLINE_EXCEEDED, 1),
        ("foreign_id", Reason.ANSWER_MISMATCH, 1),
    ],
)
def test_the_plain_service_counts_the_effects_of_failed_calls(fault, reason, effects):
    # A booking takes effect and its confirmation is lost, late or that of another
    # request. Only the service's own count shows whether the shuttle is booked.
    state = ServiceState()
    setattr(state.faults, fault, 1)

    async def use(url, client):
        once = open_client(reuse=False)
        service = HttpService(url, client, once)
        call = ServiceCall(
            "r1", "POST", "/bookings", body=b'{"reference":"b1"}', timeout_s=0.2
        )
        outcome = await service.call(call)
        await once.aclose()
        return outcome

    outcome = run_with_app(build_service_app(state), use)
    assert outcome.reason is reason
    assert not outcome.not_run
    assert state.effects_by_reference["b1"] == effects


def test_queued_requests_start_in_order_of_priority():
    async def run():
        state = EngineState({"m@1"}, EngineProfile(max_batch=1))
        await state.acquire_slot(0)
        order = []

        async def wait(name, priority):
            await state.acquire_slot(priority)
            order.append(name)
            state.release_slot()

        waiting = [asyncio.create_task(wait("batch", 5))]
        await asyncio.sleep(0)
        waiting.append(asyncio.create_task(wait("chat", 0)))
        await asyncio.sleep(0)
        state.release_slot()
        await asyncio.gather(*waiting)
        return order, state.in_flight

    assert asyncio.run(run()) == (["chat", "batch"], 0)


def test_prefix_cache_matches_shared_prefixes_and_evicts_the_oldest():
    cache = PrefixCache(capacity_blocks=4)
    shared = [f"w{n}" for n in range(32)]
    assert cache.lookup("m@1", [*shared, "a"]) == 0
    assert cache.lookup("m@1", [*shared, "b"]) == 32
    assert cache.lookup("m@2", shared) == 0
    cache.lookup("m@1", [f"x{n}" for n in range(64)])
    assert cache.lookup("m@1", shared) == 0
