"""Log lines and metrics: enough to explain a failure later, at a bounded rate."""

import asyncio
import json
import os

from acaciacove.gateway.event_log import (
    BURST_LINES,
    LINES_PER_S,
    MAX_BUFFERED_BYTES,
    ROUTINE_RESERVE,
    EventLog,
)
from acaciacove.gateway.log_events import Event
from tests.gateway_world import call, draft, lines, run_fleet
from tests.virtual import run_virtual


def test_a_request_has_one_line_with_its_decisions():
    async def scenario(fleet):
        await call("/look/1", "r-1", method="GET")
        (line,) = [x for x in lines(fleet, "request") if x["request_id"] == "r-1"]
        assert line["status"] == "served" and line["organisation"] == "ozark"
        assert line["trail"][0].endswith("@v1") and line["revision"] == 0
        assert 0 < line["first_piece_s"] <= line["total_s"] < line["time_s"]

    run_fleet(scenario)


def test_a_failed_attempt_has_a_line():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.failing = True
        for number in range(4):
            await call("/look/1", f"r-{number}", method="GET")
        failed = [x for x in lines(fleet, "attempt") if x["outcome"] == "failed"]
        assert failed and all(x["endpoint"] == "app-0@v1" for x in failed)

    run_fleet(scenario)


def test_a_refusal_logs_the_age_of_the_view():
    async def scenario(fleet):
        await call("/nowhere/1", "r-1")
        (line,) = lines(fleet, "caller_refused")
        assert line["reason"] == "unknown_api" and line["status"] == 404
        assert 0 <= line["confirmed_age_s"] < 2.0 and line["request_id"] == "r-1"

    run_fleet(scenario)


def test_an_outage_and_its_end_are_logged_once_per_stream():
    async def scenario(fleet):
        fleet.store.down = "reset"
        await asyncio.sleep(3.0)
        fleet.store.down = None
        await asyncio.sleep(2.0)
        for event in ("log_lost", "log_regained"):
            streams = [x["stream"] for x in lines(fleet, event)]
            assert sorted(streams) == ["endpoints", "operator"]

    run_fleet(scenario)


def test_routine_lines_are_dropped_first_and_counted():
    """A burst of requests would fill the log and displace the lines on failures."""

    async def scenario():
        log = EventLog("p", descriptor=None)
        for number in range(2000):
            log.write(Event.REQUEST, routine=True, number=number)
        for number in range(50):
            log.write(Event.CALLER_REFUSED, number=number)
        kinds = [line["event"] for line in log.lines]
        assert kinds.count("caller_refused") == 50
        assert kinds.count("request") <= BURST_LINES * (1 - ROUTINE_RESERVE)
        reported = [line for line in log.lines if line["event"] == "lines_dropped"]
        assert reported[-1]["total"] == log.dropped > 1000
        await asyncio.sleep(1.0)
        before = len(log.lines)
        for number in range(2000):
            log.write(Event.CALLER_REFUSED, number=number)
        assert len(log.lines) - before <= BURST_LINES
        assert LINES_PER_S < BURST_LINES

    run_virtual(scenario)


def test_a_stalled_reader_of_the_log_blocks_no_request():
    """The collector of the log stops reading. A blocking write would stop every stream
    of the process.
    """
    reader, writer = os.pipe()

    async def scenario():
        log = EventLog("p", descriptor=writer)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(20_000):
            log._tokens = BURST_LINES
            log.write(Event.REQUEST, number=number, filler="x" * 200)
        assert loop.time() - began_s < 20.0
        assert log.dropped > 0 and log._buffered_bytes <= MAX_BUFFERED_BYTES
        received = b""
        for _ in range(200):
            await asyncio.sleep(0)
            received += os.read(reader, 65_536) if _readable(reader) else b""
        first = json.loads(received.split(b"\n", 1)[0])
        assert first["event"] == "request" and first["number"] == 0

    try:
        asyncio.run(scenario())
    finally:
        os.close(reader)
        os.close(writer)


def _readable(descriptor):
    import select

    return bool(select.select([descriptor], [], [], 0)[0])


def test_metrics_show_requests_refusals_and_endpoints():
    async def scenario(fleet):
        running = fleet.gateways["gateway-0"]
        assert running.pages.metrics_page() == b"# starting\n"
        await call("/look/1", "r-1", method="GET")
        await call("/nowhere/1", "r-2")
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 10, "large": 90}
        await draft("r-3")
        await asyncio.sleep(5.0)
        page = running.pages.metrics_page().decode()
        for line in (
            'requests_total{ending="served",kind="repeatable"} 1',
            'refusals_total{reason="unknown_api"} 1',
            'attempts_total{outcome="unsure"} 1',
            'cascade_answers_total{kept="no",size="0"} 1',
            'cascade_answers_total{kept="yes",size="1"} 1',
            'endpoints{state="usable"} 4',
            "acaciacove_gateway_ready 1",
        ):
            assert line in page, line
        assert 'log_calls_total{call="read",result="ok"}' in page
        assert 'request_seconds_bucket{kind="repeatable",le="0.05"} 1' in page

    run_fleet(scenario)


def test_the_metrics_page_does_not_grow_with_the_catalogue():
    """A catalogue grows by hundreds of routes. A label for each would overload a
    scraper when its metrics are needed most.
    """
    from attrs import evolve

    from tests.gateway_world import catalogue

    base = catalogue()
    look = next(r for r in base.routes if r.name == "look")
    many = tuple(evolve(look, name=f"n{n}", path_prefix=f"/n{n}/") for n in range(350))

    async def scenario(fleet):
        for number in range(0, 350, 10):
            await call(f"/n{number}/1", f"r-{number}", method="GET")
        await asyncio.sleep(5.0)
        page = fleet.gateways["gateway-0"].pages.metrics_page()
        assert page.count(b"\n") < 200

    run_fleet(scenario, published=catalogue(routes=(*base.routes, *many)))
