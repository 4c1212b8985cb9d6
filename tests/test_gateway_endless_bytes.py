"""Bytes without end, or far too many of them, in each place where they can come."""

import asyncio
from contextlib import asynccontextmanager

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import PlatformUnavailableError
from acaciacove.gateway import forward_response
from acaciacove.gateway.http import event_splitter
from acaciacove.gateway.http.connection import MAX_EVENTS_PER_TURN
from acaciacove.gateway.http.endpoint_connection import EndpointConnection
from acaciacove.gateway.http.event_splitter import EventSplitter
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.probe_protocol import REQUEST_TIMEOUT_S
from acaciacove.platform.log_client import MAX_RESPONSE_BYTES, LogClient
from acaciacove.standins.gateway_fleet import (
    ENDPOINT_PORT,
    FRONT_PORT,
    READINESS_PORT,
)
from acaciacove.wire.connection import FRAME_TIMEOUT_S, Connection
from tests.gateway_world import (
    GATEWAY_HOST,
    HOST,
    call,
    catalogue,
    draft,
    report,
    run_fleet,
)
from tests.virtual import run_virtual

BAD_HOST = "10.0.2.99"
HEAD = b"HTTP/1.1 200 OK\r\nAcaciacove-Response-Signature: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FAILED = b"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n"
FULL = (
    b"HTTP/1.1 503 Full\r\nAcaciacove-Not-Executed: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
OTHER = (
    b"HTTP/1.1 200 OK\r\nAcaciacove-Attempt-Id: other\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
# What an endpoint sends first, and then again and again until its caller closes.
ENDLESS = {
    "bytes before a head": (b"", b"x"),
    "empty lines before a head": (b"", b"\r\n"),
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "a head": (HEAD, b"X-Field: value\r\n"),
    "a field": (HEAD + b"X-Field: ", b"value"),
    "a body": (CHUNKED, CHUNK),
    "a body in pieces of a byte": (CHUNKED, b"1\r\nx\r\n" * 100),
    "a chunk's extension": (CHUNKED + b"1;", b"extension"),
    "a trailer": (CHUNKED + b"0\r\n", b"X-Field: value\r\n"),
    "a body that its connection ends": (HEAD + b"\r\n", b"x" * 1024),
    "the body of a failure": (FAILED, b"1\r\nx\r\n"),
    "the body of a refusal": (FULL, b"1\r\nx\r\n"),
    "a response to another request": (OTHER, CHUNK),
    "a slow response to another request": (OTHER, b"1\r\nx\r\n"),
}
DEADLINE_S = 2.0
# A response is given up soon enough for an attempt elsewhere.
ATTEMPT_S = 1.5
MAX_HELD_BYTES = 1_000_000
SENT_AT_ONCE = 200


@asynccontextmanager
async def endless_endpoint(first, again, interval_s):
    """Serve each connection with bytes until it is closed."""
    open_connections = set()

    async def serve(reader, writer):
        open_connections.add(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while not reader.at_eof():
                writer.write(again * (SENT_AT_ONCE if not interval_s else 1))
                await writer.drain()
                await asyncio.sleep(interval_s or 0.001)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            open_connections.discard(writer)
            writer.transport.abort()

    server = await asyncio.start_server(serve, BAD_HOST, ENDPOINT_PORT)
    try:
        yield open_connections
    finally:
        server.close()


@pytest.mark.parametrize("interval_s", [0.0, 0.02])
@pytest.mark.parametrize("place", ENDLESS)
def test_an_endpoint_without_end_costs_its_caller_a_bounded_time(place, interval_s):
    """Guards against an endpoint whose bytes never end: its caller waits, the gateway
    holds what came, and others are not served.
    """
    first, again = ENDLESS[place]

    async def scenario(fleet):
        for instance in ("app-0", "app-1"):
            fleet.announce_draining(instance)
        fleet.register(report("bad", "app", 99))
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        held = fleet.gateways["gateway-0"].gateway.held.budget
        most_held = 0
        async with endless_endpoint(first, again, interval_s) as connections:
            began_s = loop.time()
            tasks = [
                asyncio.create_task(
                    call(
                        "/look/1",
                        f"{number:x}",
                        fields={"Acaciacove-Deadline-Ms": str(int(1e3 * DEADLINE_S))},
                    )
                )
                for number in range(4)
            ]
            others = []
            while not all(task.done() for task in tasks):
                others.append((await draft(f"d{len(others)}")).status)
                most_held = max(most_held, held.held_bytes)
                await asyncio.sleep(0.05)
            took_s = loop.time() - began_s
            await asyncio.sleep(0.1)
            left = len(connections)
        return took_s, set(others), most_held, left, [t.result() for t in tasks]

    took_s, others, most_held, left, answers = run_fleet(scenario)
    assert took_s <= DEADLINE_S + 0.5
    assert others == {200}
    assert most_held <= MAX_HELD_BYTES
    assert left == 0
    assert not any(a.status == 200 and a.complete for a in answers)


@pytest.mark.parametrize(
    "place", [p for p in ENDLESS if "other" in p or "failure" in p or "refusal" in p]
)
def test_a_response_that_does_not_end_leaves_time_for_another_attempt(place):
    """Guards against a caller who waits for the end of a body that nobody needs until
    its time is over, while another endpoint could serve it.
    """
    first, again = ENDLESS[place]

    async def scenario(fleet):
        fleet.announce_draining("app-1")
        fleet.register(report("bad", "app", 99))
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        answers = []
        async with endless_endpoint(first, again, 0.02):
            for number in range(8):
                began_s = loop.time()
                answer = await call("/look/1", f"{number:x}")
                answers.append((answer.status, loop.time() - began_s < ATTEMPT_S))
        return set(answers)

    assert run_fleet(scenario) == {(200, True)}


@pytest.mark.parametrize("limit_bytes", [0, 40_000_000])
def test_an_event_that_does_not_end_is_given_up(limit_bytes):
    """Guards against a stream that is no stream of events and fills the memory."""
    seen = []

    async def scenario(fleet):
        for instance in ("model-0", "model-1"):
            fleet.announce_draining(instance)
        fleet.register(report("bad", "model", 99, slots=64))
        fleet.gateways["gateway-0"].gateway.held.budget.limit_bytes = limit_bytes
        await asyncio.sleep(1.0)
        budget = fleet.gateways["gateway-0"].gateway.held.budget
        async with endless_endpoint(CHUNKED, CHUNK, 0.0):
            task = asyncio.create_task(draft("1"))
            while not task.done():
                seen.append(budget.held_bytes)
                await asyncio.sleep(0.001)
        return task.result().status

    assert run_fleet(scenario) != 200
    assert 100_000 < max(seen) <= forward_response.MAX_ANSWER_BYTES + 200_000


@given(st.lists(st.sampled_from([b"\r", b"\n", b"a", b"id: 7", b"\r\n"]), max_size=60))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_events_are_split_alike_however_their_bytes_arrive(parts):
    """Guards against a boundary that is missed as it spans two reads."""
    whole, split = EventSplitter(), EventSplitter()
    expected = whole.push(b"".join(parts))
    assert b"".join(split.push(part) for part in parts) == expected
    assert split.rest == whole.rest
    assert split.last_id == whole.last_id


def test_an_event_in_pieces_of_a_byte_is_searched_once(monkeypatch):
    """Guards against processor time that grows with the square of an event's size."""
    searched = []

    class Counting:
        def finditer(self, data, start=0):
            searched.append(len(data) - start)
            return iter(())

    monkeypatch.setattr(event_splitter, "_BOUNDARY", Counting())
    splitter = EventSplitter()
    for _ in range(10_000):
        splitter.push(b"x")
    assert sum(searched) <= 5 * 10_000


def test_other_tasks_run_while_one_connection_has_thousands_of_events():
    """Guards against callers that wait while one connection's bytes are handled."""
    pieces = 2_000

    async def scenario():
        connection = EndpointConnection()
        connection.busy = True
        request = h11.Request(method="GET", target="/", headers=[("Host", "h")])
        connection.h11.send(request)
        connection.h11.send(h11.EndOfMessage())
        connection.transport = type(
            "Transport", (), {"pause_reading": lambda self: None}
        )()
        connection._count_unsent = lambda: None
        connection.data_received(CHUNKED + b"4\r\nabcd\r\n" * pieces + b"0\r\n\r\n")
        turns, handled = [0], []

        async def tick():
            while True:
                turns[0] += 1
                await asyncio.sleep(0)

        ticking = asyncio.create_task(tick())
        for _ in range(pieces):
            await connection.next_response_event()
            handled.append(turns[0])
        ticking.cancel()
        return [handled.count(turn) for turn in set(handled)]

    assert max(asyncio.run(scenario())) <= MAX_EVENTS_PER_TURN


@pytest.mark.parametrize(
    ("first", "again"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n"),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    ],
)
def test_a_response_of_the_log_without_end_is_a_failed_call(first, again):
    """Guards against a gateway whose memory is filled by one call to the log."""

    async def scenario():
        sent = [0]

        async def serve(reader, writer):
            try:
                writer.write(first)
                while True:
                    writer.write(again)
                    sent[0] += len(again)
                    await writer.drain()
                    await asyncio.sleep(0.0001)
            except ConnectionError:
                writer.transport.abort()

        server = await asyncio.start_server(serve, "10.0.9.1", 7000)
        client = LogClient("10.0.9.1", 7000, "gateway-0")
        with pytest.raises(PlatformUnavailableError):
            await client.newest(LogStream.OPERATOR)
        await asyncio.sleep(0.01)
        server.close()
        return sent[0]

    assert run_virtual(scenario) <= 2 * MAX_RESPONSE_BYTES


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"",
        b"GET /-/readiness HTTP/1.1\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_a_probe_without_end_is_closed(request_bytes):
    """Guards against connections of the balancer that are held for ever."""

    async def scenario(fleet):
        reader, writer = await asyncio.open_connection(GATEWAY_HOST, READINESS_PORT)
        writer.write(request_bytes)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        reading = asyncio.create_task(reader.read())
        while not reading.done() and loop.time() < began_s + 3.0 * REQUEST_TIMEOUT_S:
            if request_bytes.startswith(b"POST"):
                writer.write(b"1\r\nx\r\n")
            await asyncio.sleep(0.5)
        writer.transport.abort()
        return loop.time() - began_s

    assert run_fleet(scenario) <= REQUEST_TIMEOUT_S + 1.0


def test_a_message_of_a_peer_without_end_is_given_up():
    """Guards against connections of peers that are held for ever by half a message."""

    async def scenario():
        results = []

        async def serve(reader, writer):
            connection = Connection(reader, writer)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            message = await connection.receive(max_bytes=4_096)
            results.append((message, connection.fault, loop.time() - began_s))
            connection.close()

        server = await asyncio.start_server(serve, "10.0.9.2", 8002)
        _, slow = await asyncio.open_connection("10.0.9.2", 8002)
        slow.write((1_000).to_bytes(4, "big"))
        _, large = await asyncio.open_connection("10.0.9.2", 8002)
        large.write((5_000).to_bytes(4, "big"))
        for _ in range(100):
            slow.write(b"x")
            await asyncio.sleep(0.5)
        server.close()
        return results

    (large, large_fault, _), (slow, slow_fault, slow_s) = run_virtual(scenario)
    assert large is None
    assert "exceeds 4096" in large_fault
    assert slow is None
    assert "came within" in slow_fault
    assert slow_s <= FRAME_TIMEOUT_S + 1.0


CALLER_HEAD = b"POST /look/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\n"
CALLER_CHUNKED = (
    CALLER_HEAD + b"Authorization: Bearer key-of-ozark\r\nAcaciacove-Attempt-Id: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    ("first", "again"),
    [
        (b"", b"\r\n"),
        (b"", b"x"),
        (b"POST /", b"x"),
        (CALLER_HEAD, b"X-Field: value\r\n"),
        (CALLER_CHUNKED, b"1\r\nx\r\n"),
        (CALLER_CHUNKED, b"1\r\nx\r\n" * 1_000),
        (CALLER_CHUNKED, CHUNK * 64),
        (CALLER_CHUNKED + b"1;", b"extension"),
        (CALLER_CHUNKED + b"0\r\n", b"X-Field: value\r\n"),
    ],
)
def test_a_caller_without_end_is_refused_and_others_are_served(first, again):
    """Guards against a caller whose request never ends: it holds memory and a
    connection, and others are not served.
    """

    async def send(writer):
        writer.write(first)
        try:
            while True:
                writer.write(again)
                await writer.drain()
                await asyncio.sleep(0.01)
        except ConnectionError:
            return

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        limits = fleet.gateways["gateway-0"].gateway.view.catalogue.limits
        held = fleet.gateways["gateway-0"].gateway.held.budget
        reader, writer = await asyncio.open_connection(GATEWAY_HOST, FRONT_PORT)
        began_s = loop.time()
        task = asyncio.create_task(send(writer))
        reading = asyncio.create_task(reader.read())
        others, most_held = set(), 0
        while not reading.done() and loop.time() < began_s + 400.0:
            others.add((await call("/look/1", f"a{len(others)}")).status)
            most_held = max(most_held, held.held_bytes)
            await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.wait([reading], timeout=1.0)
        writer.transport.abort()
        body_s = limits.max_body_bytes / 16_384
        bound_s = 2.0 * limits.header_timeout_s + body_s + 2.0
        return loop.time() - began_s <= bound_s, others, most_held, limits

    ended, others, most_held, limits = run_fleet(scenario, published=catalogue())
    assert ended
    assert others == {200}
    assert most_held <= limits.max_body_bytes + 200_000
