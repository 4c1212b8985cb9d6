"""Bytes held for slow callers and large bodies, and who gives way to whom."""

import asyncio

import pytest
from attrs import evolve

from acaciacove.gateway.catalogue.repetition import Repetition
from tests.gateway_world import (
    Caller,
    call,
    catalogue,
    lines,
    model_fields,
    route,
    run_fleet,
)
from tests.test_gateway_front import HEAD, raw

ROUTES = (
    *catalogue().routes,
    route("slow", "model", Repetition.STREAMING, timeout_s=60.0, max_attempts=1),
    route("upload", "app", Repetition.ONCE, timeout_s=600.0, max_attempts=2),
)
EVENTS, EVENT_BYTES = 72, 5_000


def run(scenario, **options):
    run_fleet(scenario, published=catalogue(routes=ROUTES), **options)


def set_engines(fleet, **changes):
    """Have engines answer with 360,000 bytes, more than the network buffers."""
    values = {"events": EVENTS, "event_bytes": EVENT_BYTES, "unread_timeout_s": 3.0}
    for server in fleet.endpoints.values():
        server.behaviour = evolve(server.behaviour, **(values | changes))


async def start_reading_nothing(request_id):
    caller = await Caller().open()
    caller.writer.transport.pause_reading()
    caller.send("/slow/1", request_id, fields=model_fields())
    return caller


def budget_of(fleet):
    return fleet.gateways["gateway-0"].gateway.held.budget


def test_answer_is_read_from_its_endpoint_while_the_caller_reads_nothing():
    """Guards against backpressure that makes the endpoint cut off the answer."""

    async def scenario(fleet):
        set_engines(fleet)
        caller = await start_reading_nothing("r-1")
        await asyncio.sleep(9.0)
        assert [a.ended for a in fleet.arrivals] == ["done"]
        assert not lines(fleet, "request")
        assert 0 < budget_of(fleet).held_bytes < 262_144 + 65_536 + 16_384
        caller.writer.transport.resume_reading()
        answer = await caller.read()
        ids = [int(part.split(b"\n")[0]) for part in answer.body.split(b"id: ")[1:]]
        assert answer.complete and ids == list(range(1, EVENTS + 1))
        await asyncio.sleep(0.1)
        assert lines(fleet, "request")[0]["status"] == "served"
        assert budget_of(fleet).held_bytes == 0

    run(scenario)


def test_answer_that_is_broken_off_does_not_look_complete_to_a_slow_caller():
    async def scenario(fleet):
        set_engines(fleet, cut_after=20)
        caller = await start_reading_nothing("r-1")
        await asyncio.sleep(2.0)
        caller.writer.transport.resume_reading()
        assert not (await caller.read()).complete
        assert budget_of(fleet).held_bytes == 0

    run(scenario)


def test_slow_caller_that_leaves_cancels_its_request_at_once():
    async def scenario(fleet):
        set_engines(fleet, gap_s=0.2)
        caller = await start_reading_nothing("r-1")
        await asyncio.sleep(9.0)
        assert fleet.arrivals[0].ended == "" and budget_of(fleet).held_bytes
        caller.disconnect()
        await asyncio.sleep(0.1)
        assert fleet.arrivals[0].ended == "cut"
        assert budget_of(fleet).held_bytes == 0

    run(scenario)


def test_complete_answer_is_delivered_after_the_deadline_while_the_caller_reads():
    async def scenario(fleet):
        set_engines(fleet)
        callers = [await start_reading_nothing(f"r-{n}") for n in range(2)]
        await asyncio.sleep(58.0)
        callers[0].writer.transport.resume_reading()
        for _ in range(15):
            callers[0].h11.receive_data(await callers[0].reader.read(20_000))
            await asyncio.sleep(1.0)
        assert (await callers[0].read()).complete
        await asyncio.sleep(0.1)
        ended = {line["request_id"]: line["status"] for line in lines(fleet, "request")}
        assert ended == {"r-0": "served", "r-1": "broken_off"}
        assert budget_of(fleet).held_bytes == 0

    run(scenario)


def test_exhausted_budget_refuses_bodies_cuts_idle_callers_and_serves_quick_ones():
    """Guards against slow callers that use up the memory for all others."""

    async def scenario(fleet):
        set_engines(fleet, unread_timeout_s=None)
        slow = [await start_reading_nothing(f"r-{n}") for n in range(50)]
        await asyncio.sleep(5.0)
        held = budget_of(fleet)
        assert 8_000_000 < held.held_bytes <= held.limit_bytes == 10_000_000
        refused = await call("/look/1", "r-large", body=b"x" * 2_500_000)
        assert refused.status == 503 and refused.complete
        assert b'"overloaded"' in refused.body and b'"not_run":true' in refused.body
        assert refused.headers["retry-after"] and refused.headers["connection"]
        assert "r-large" not in {a.request_id for a in fleet.arrivals}
        assert (await call("/look/1", "r-small")).status == 200
        quick = await call("/slow/1", "r-quick", fields=model_fields())
        assert quick.complete and quick.body.count(b"id:") == EVENTS
        assert not lines(fleet, "caller_cut")
        await asyncio.sleep(8.0)
        cut = lines(fleet, "caller_cut")
        assert 0 < len(cut) < 40 and all(line["idle_s"] >= 10.0 for line in cut)
        page = fleet.gateways["gateway-0"].pages.metrics_page().decode()
        assert f"acaciacove_gateway_callers_cut_total {len(cut)}.0\n" in page
        assert f"acaciacove_gateway_held_bytes {held.held_bytes}" in page
        assert f"acaciacove_gateway_held_bytes_limit {held.limit_bytes}" in page
        for caller in slow:
            caller.writer.transport.resume_reading()
        answers = await asyncio.gather(*(caller.read() for caller in slow))
        assert sum(a.complete for a in answers) == 50 - len(cut)
        await asyncio.sleep(0.1)
        assert held.held_bytes == 0

    run(scenario, memory_limit_bytes=40_000_000)


def test_large_bodies_are_spread_over_endpoints():
    """Guards against an endpoint that crashes under bodies of one gateway."""

    async def scenario(fleet):
        set_engines(fleet, work_s=2.0)
        bodies = [b"x" * 200_000] * 3
        answers = await asyncio.gather(
            *(call("/upload/1", f"r-{n}", body=b) for n, b in enumerate(bodies))
        )
        assert sorted(a.status for a in answers) == [200, 200, 503]
        assert len({a.instance for a in fleet.arrivals}) == 2
        assert budget_of(fleet).held_bytes == 0

    run(scenario, memory_limit_bytes=4_000_000)


@pytest.mark.parametrize(
    ("size", "chunk_bytes", "gap_s", "status"),
    [(2, 1, 1.2, 408), (4_194_304, 40_000, 2.0, 200)],
)
def test_body_is_limited_by_its_average_rate(size, chunk_bytes, gap_s, status):
    """Guards against callers that hold a connection with one byte at a time.

    A steady caller of 0.16 Mbit/s finishes a body of the size limit.
    """

    async def scenario(fleet):
        head = HEAD.replace("look", "upload") % "r-1"
        declared = size if status == 200 else 100
        chunks = [f"{head}Content-Length: {declared}\r\n\r\n"]
        sizes = range(0, size, chunk_bytes)
        chunks += ["x" * min(chunk_bytes, size - sent) for sent in sizes]
        answer = await raw(*chunks, pause_s=gap_s, wait_s=1.0)
        assert answer.startswith(f"HTTP/1.1 {status}".encode())
        assert budget_of(fleet).held_bytes == 0

    run(scenario)
