"""Daemons that learn from each other: log outages, lagging lists, lost instances."""

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
# Rounds of its own check that an entry is given to become ready too early.
READY_CHECKS = 4


def holders(fleet):
    shared = [s.shared for s in fleet.sidecars.values()]
    return [s.holder for s in shared + [e.shared for e in fleet.entries]]


def test_a_note_that_one_process_has_read_is_in_force_everywhere_in_a_log_outage():
    # The log fails right after one sidecar has read a withdrawal. Everybody else
    # must learn of it from peers, or callers get the withdrawn version for hours.
    async def test():
        async with embedded_fleet() as fleet:
            fleet.log.faults.outage = True
            note = encode_record(ReleaseNote("note-2", 0, withdrawn=(SMALL,)))
            fleet.sidecars["guide-0"].shared.holder.offer([LogEntry(1, note)])
            await until(lambda: all(h.revision == 1 for h in holders(fleet)))
            response = await fleet.post(CHAT, QUESTION)
            assert response.headers["x-version"] == str(LARGE)

    run(test)


def test_the_first_request_corrects_a_stale_entry():
    # A sidecar knows of a withdrawal, the entry does not yet. The entry must not get
    # an answer from the withdrawn version, and learns of it on the same connection.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            fleet.log.faults.outage = True
            note = encode_record(ReleaseNote("note-2", 0, withdrawn=(SMALL,)))
            fleet.sidecars["guide-0"].shared.holder.offer([LogEntry(1, note)])
            response = await fleet.post(CHAT, QUESTION)
            answer = orjson.loads(await response.content())
            started = fleet.engines["guide-0"].counters.started_by_version
            assert started[str(SMALL)] == 0
            assert response.headers.get("x-version") == str(LARGE) or answer["not_run"]
            await until(lambda: fleet.entries[0].shared.holder.revision == 1)

    run(test)


def test_a_stale_sidecar_catches_up_before_it_decides():
    # A sidecar was paused while a version was withdrawn and another one declared.
    # An entry that knows sends it a request; it must decide on the entry's revision.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            fleet.log.faults.outage = True
            note = encode_record(ReleaseNote("note-2", 0, withdrawn=(SMALL,)))
            fleet.entries[0].shared.holder.offer([LogEntry(1, note)])
            response = await fleet.post(CHAT, QUESTION)
            assert response.status_code == 200
            assert response.headers["x-version"] == str(LARGE)
            assert fleet.sidecars["guide-0"].shared.holder.revision == 1

    run(test)


def test_an_entry_starts_from_its_peers_while_the_log_is_down():
    async def test():
        async with embedded_fleet() as fleet:
            fleet.log.faults.outage = True
            await add_entry(fleet, fleet.sidecar_stacks["guide-0"], "entry-late")
            response = await fleet.post(CHAT, QUESTION, entry=1)
            assert response.status_code == 200

    run(test)


def test_an_entry_that_has_read_no_instance_list_takes_no_callers():
    # The log answers a starting entry, and the instance list does not. The entry
    # knows every release and not one endpoint. Its callers read "no endpoint" and
    # lose a booking while the whole fleet stands ready.
    async def test():
        async with embedded_fleet() as fleet, AsyncExitStack() as stack:
            fleet.listing.faults.outage = True
            started = asyncio.create_task(add_entry(fleet, stack, "entry-1"))
            await until(lambda: len(fleet.entries) == 2)
            late = fleet.entries[1]
            await until(lambda: late.shared.spread.ready)
            await asyncio.sleep(READY_CHECKS * READY_POLL_INTERVAL_S)
            assert not late.state.lifecycle.accepts_callers
            fleet.listing.faults.outage = False
            await started
            response = await fleet.post(BOOK, b"{}", entry=1, Idempotency_Key="k-1")
            assert response.status_code == 200

    run(test)


def test_endpoints_that_were_starting_a_moment_ago_are_asked():
    # A whole fleet starts. Every endpoint of an API tells an entry that it is
    # starting, becomes ready a moment later, and has no reason to speak again for a
    # second. The entry refuses bookings with "no endpoint" while all stand ready.
    async def test():
        async with embedded_fleet() as fleet:
            membership = fleet.entries[0].shared.membership
            for name in fleet.services:
                incarnation = fleet.sidecars[name].shared.local_instance.incarnation
                now_s = asyncio.get_running_loop().time()
                membership.heard(name, incarnation + 1, now_s, InstanceStatus.STARTING)
            assert not {i.name for i in membership.usable()} & set(fleet.services)
            response = await fleet.post(BOOK, b"{}", Idempotency_Key="k-1")
            assert response.status_code == 200, await response.content()

    run(test)


def test_an_endpoint_that_is_lost_gets_no_more_work_though_the_list_shows_it():
    # An endpoint's instance vanishes and the platform's list goes on showing it.
    # Callers are answered by others; the lost one is not tried again and again.
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


def test_a_list_that_lies_does_not_empty_the_fleet():
    # The platform's list calls every endpoint leaving, wrongly. They say themselves
    # that they serve, so callers go on being served.
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
