"""Daemons exchange state in log outages, with stale lists and lost instances."""

import asyncio
from contextlib import AsyncExitStack

import orjson

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.daemon.shared_state import READY_POLL_INTERVAL_S
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_note import ReleaseNote
from tests.embedded import LARGE, SMALL, add_entry, embedded_fleet, run, until

QUESTION = orjson.dumps(
    {"model": "guide", "messages": [{"role": "user", "content": "Any creeks?"}]}
)
CHAT = "/v1/chat/completions"
BOOK = "/services/rides/shuttles"
# Rounds of the readiness check in which an entry could become ready too early.
READY_CHECK_ROUNDS = 4


def fleet_stores(fleet):
    shared = [s.shared for s in fleet.sidecars.values()]
    return [s.fleet_store for s in shared + [e.shared for e in fleet.entries]]


def test_a_release_note_read_by_one_process_reaches_all_during_a_log_outage():
    # The log fails right after one sidecar has read a withdrawal. All other processes
    # must get it from peers, or callers get the withdrawn version for hours.
    async def test():
        async with embedded_fleet() as fleet:
            fleet.log.faults.outage = True
            note = encode_record(ReleaseNote("note-2", 0, withdrawn=(SMALL,)))
            fleet.sidecars["guide-0"].shared.fleet_store.offer([LogEntry(1, note)])
            await until(lambda: all(h.revision == 1 for h in fleet_stores(fleet)))
            response = await fleet.post(CHAT, QUESTION)
            assert response.headers["x-version"] == str(LARGE)

    run(test)


def test_a_sidecar_updates_a_stale_entry_on_its_first_request():
    # A sidecar has read a withdrawal, the entry has not. The entry must not get an
    # answer from the withdrawn version, and gets the record on the same connection.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            fleet.log.faults.outage = True
            note = encode_record(ReleaseNote("note-2", 0, withdrawn=(SMALL,)))
            fleet.sidecars["guide-0"].shared.fleet_store.offer([LogEntry(1, note)])
            response = await fleet.post(CHAT, QUESTION)
            answer = orjson.loads(await response.content())
            started = fleet.engines["guide-0"].counters.started_by_version
            assert started[str(SMALL)] == 0
            assert response.headers.get("x-version") == str(LARGE) or answer["not_run"]
            await until(lambda: fleet.entries[0].shared.fleet_store.revision == 1)

    run(test)


def test_a_stale_sidecar_catches_up_before_it_runs_a_request():
    # A sidecar was paused while a version was withdrawn. An entry with the newer
    # revision sends it a request. The sidecar must decide on the entry's revision.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            fleet.log.faults.outage = True
            note = encode_record(ReleaseNote("note-2", 0, withdrawn=(SMALL,)))
            fleet.entries[0].shared.fleet_store.offer([LogEntry(1, note)])
            response = await fleet.post(CHAT, QUESTION)
            assert response.status_code == 200
            assert response.headers["x-version"] == str(LARGE)
            assert fleet.sidecars["guide-0"].shared.fleet_store.revision == 1

    run(test)


def test_an_entry_starts_from_peer_state_while_the_log_is_down():
    async def test():
        async with embedded_fleet() as fleet:
            fleet.log.faults.outage = True
            await add_entry(fleet, fleet.sidecar_stacks["guide-0"], "entry-late")
            response = await fleet.post(CHAT, QUESTION, entry=1)
            assert response.status_code == 200

    run(test)


def test_an_entry_without_an_instance_list_is_not_ready():
    # A starting entry can read the log but not the instance list, so it has all
    # release notes and no endpoint. If it became ready, its callers would be refused
    # with "no endpoint" and lose a booking although the whole fleet is ready.
    async def test():
        async with embedded_fleet() as fleet, AsyncExitStack() as stack:
            fleet.listing.faults.outage = True
            started = asyncio.create_task(add_entry(fleet, stack, "entry-1"))
            await until(lambda: len(fleet.entries) == 2)
            late = fleet.entries[1]
            await until(lambda: late.shared.release_gossip.ready)
            await asyncio.sleep(READY_CHECK_ROUNDS * READY_POLL_INTERVAL_S)
            assert not late.state.lifecycle.accepts_callers
            fleet.listing.faults.outage = False
            await started
            response = await fleet.post(BOOK, b"{}", entry=1, Idempotency_Key="k-1")
            assert response.status_code == 200

    run(test)


def test_starting_endpoints_get_requests_when_no_live_one_serves():
    # A whole fleet starts. Every endpoint of an API reports to an entry that it is
    # starting, becomes ready a moment later, and sends its next report only after a
    # second. The entry must not refuse bookings with "no endpoint" in between.
    async def test():
        async with embedded_fleet() as fleet:
            membership = fleet.entries[0].shared.membership
            for name in fleet.services:
                incarnation = fleet.sidecars[name].shared.local_instance.incarnation
                now_s = asyncio.get_running_loop().time()
                membership.record_message(
                    name, incarnation + 1, now_s, InstanceStatus.STARTING
                )
            assert not {i.name for i in membership.usable()} & set(fleet.services)
            response = await fleet.post(BOOK, b"{}", Idempotency_Key="k-1")
            assert response.status_code == 200, await response.content()

    run(test)


def test_a_lost_endpoint_gets_no_requests_despite_a_stale_list():
    # An endpoint's instance is lost and the platform's list still shows it. Other
    # endpoints must answer callers, without repeated attempts at the lost one.
    async def test():
        async with embedded_fleet() as fleet:
            await fleet.sidecar_stacks["guide-0"].aclose()
            membership = fleet.entries[0].shared.membership
            await until(
                lambda: membership.status_of("guide-0") is not InstanceStatus.LIVE
            )
            for _ in range(5):
                response = await fleet.post(CHAT, QUESTION)
                assert response.headers["x-endpoint"] == "guide-1"

    run(test)


def test_a_false_instance_list_does_not_remove_live_endpoints():
    # The platform's list wrongly marks every endpoint as leaving. The endpoints
    # report that they are live, so callers must still be served.
    async def test():
        async with embedded_fleet() as fleet:
            membership = fleet.entries[0].shared.membership
            await fleet.post(CHAT, QUESTION)
            for name in tuple(fleet.instances):
                fleet.mark(name, InstanceStatus.LEAVING)
            fetches = fleet.listing.fetches
            await until(lambda: fleet.listing.fetches > fetches + 12)
            await until(lambda: membership.status_of("guide-0") is InstanceStatus.LIVE)
            response = await fleet.post(CHAT, QUESTION)
            assert response.status_code == 200

    run(test)
