"""Caller-facing connections: framing, limits, slow callers and shutdown."""

import asyncio

import pytest

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.platform.header_fields import DIALECT
from tests.gateway_world import (
    GATEWAY_HOST,
    KEY,
    Caller,
    call,
    catalogue,
    run_fleet,
    runs_of,
)

HEAD = (
    "POST /look/1 HTTP/1.1\r\nHost: api.example\r\n"
    f"Authorization: Bearer {KEY}\r\nAcaciacove-Attempt-Id: %s\r\n"
)


async def raw(*chunks, pause_s=0.0, wait_s=1.0):
    """Send raw bytes; return what is received until the end or for ``wait_s``."""
    reader, writer = await asyncio.open_connection(GATEWAY_HOST, 8000)
    received = b""
    try:
        for chunk in chunks:
            writer.write(chunk.encode())
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(wait_s):
            while data := await reader.read(65_536):
                received += data
    except (TimeoutError, ConnectionError):
        pass
    writer.transport.abort()
    return received


def test_request_with_two_lengths_is_refused_and_the_rest_is_not_read():
    """Guards against request smuggling.

    A request has both a Content-Length and chunks. Two programs that disagree on which
    of them counts see different requests, and a request hidden in the first would run
    without a check of its API key.
    """

    async def scenario(fleet):
        hidden = HEAD % "hidden" + "Content-Length: 0\r\n\r\n"
        sent = HEAD % "r-1" + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = await raw(sent + "0\r\n\r\n" + hidden)
        assert answer.startswith(b"HTTP/1.1 400") and answer.count(b"HTTP/1.1") == 1
        assert fleet.arrivals == []

    run_fleet(scenario)


def test_body_that_looks_like_a_request_is_not_parsed():
    async def scenario(fleet):
        body = (HEAD % "hidden" + "Content-Length: 0\r\n\r\n").encode()
        await call("/look/1", "r-1", body=body)
        assert [a.request_id for a in fleet.arrivals] == ["r-1"]
        assert fleet.arrivals[0].body == body

    run_fleet(scenario)


def test_malformed_heads_are_refused():
    async def scenario(fleet):
        for head in (
            "POST /look/1 HTTP/1.1\r\nContent-Length: x\r\nHost: a\r\n\r\n",
            "POST /look/1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"
            "Host: a\r\n\r\n",
            "POST /look/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            "POST http://api.example/look/1 HTTP/1.1\r\nHost: a\r\n\r\n",
            "POST /look/1 HTTP/1.1\r\nHost : a\r\n\r\n",
            "\x00\x01\x02\r\n\r\n",
        ):
            answer = await raw(head)
            assert answer.startswith(b"HTTP/1.1 400"), head
        assert fleet.arrivals == []

    run_fleet(scenario)


def test_chunked_body_is_forwarded_unchanged():
    async def scenario(fleet):
        sent = HEAD % "r-1" + "Transfer-Encoding: chunked\r\n\r\n"
        answer = await raw(sent + "3\r\nabc\r\n", "2\r\nde\r\n0\r\n\r\n", pause_s=0.1)
        assert answer.startswith(b"HTTP/1.1 200")
        assert fleet.arrivals[0].body == b"abcde"

    run_fleet(scenario)


def test_oversized_heads_and_bodies_are_refused():
    async def scenario(fleet):
        large_head = HEAD % "r-1" + "X: " + "y" * 20_000 + "\r\n\r\n"
        assert (await raw(large_head)).startswith(b"HTTP/1.1 431")
        large_body = HEAD % "r-2" + "Content-Length: 5000000\r\n\r\n" + "z" * 5_000_000
        assert (await raw(large_body, wait_s=5.0)).startswith(b"HTTP/1.1 413")
        assert fleet.arrivals == []

    run_fleet(scenario)


def test_slow_caller_is_refused_with_408():
    """Guards against callers that send a byte now and then and so hold connections."""

    async def scenario(fleet):
        answer = await raw("POST /look/1 HT", wait_s=4.0)
        assert answer.startswith(b"HTTP/1.1 408")
        answer = await raw(HEAD % "r-1" + "Content-Length: 10\r\n\r\nab", wait_s=4.0)
        assert answer.startswith(b"HTTP/1.1 408")
        assert fleet.arrivals == []

    run_fleet(scenario)


def test_idle_connection_stays_open_for_the_announced_timeout():
    async def scenario(fleet):
        caller = await Caller().open()
        first = await caller.request("/look/1", "r-1", method="GET")
        assert first.headers["keep-alive"] == "timeout=15"
        await asyncio.sleep(12.0)
        assert (await caller.request("/look/1", "r-2", method="GET")).status == 200
        await asyncio.sleep(15.5)
        assert await caller.reader.read() == b""

    run_fleet(scenario)


def test_pipelined_requests_are_answered_in_order():
    async def scenario(fleet):
        sent = "".join(HEAD % f"r-{n}" + "Content-Length: 0\r\n\r\n" for n in range(3))
        answer = await raw(sent)
        assert answer.count(b"HTTP/1.1 200") == 3
        assert [a.request_id for a in fleet.arrivals] == ["r-0", "r-1", "r-2"]

    run_fleet(scenario)


def test_expect_100_continue_is_answered():
    async def scenario(fleet):
        head = HEAD % "r-1" + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        answer = await raw(head, "ok", pause_s=0.1)
        assert answer.startswith(b"HTTP/1.1 100") and b"HTTP/1.1 200" in answer
        assert runs_of(fleet, "r-1")[0].body == b"ok"

    run_fleet(scenario)


async def leave_after_body(size):
    """Send a body over the loopback interface and leave; return how serving ended."""
    ended = asyncio.get_running_loop().create_future()

    async def serve(request, front):
        try:
            await asyncio.sleep(2.0)
            ended.set_result("ran on")
        except asyncio.CancelledError:
            ended.set_result(f"cancelled after {len(request.body)} bytes")
            raise

    def accept():
        return FrontConnection(serve, DIALECT, CallerLimits, lambda: False, set())

    server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
    async with server:
        address = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode() + b"x" * size)
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.transport.abort()
        return await ended


@pytest.mark.parametrize("size", [10_000, 100_000, 1_000_000])
def test_caller_that_leaves_cancels_its_request_after_a_body_of_every_size(size):
    """Guards against a connection that is no longer read after a large body.

    Its end was not noticed, and the request ran on without a caller.
    """
    assert asyncio.run(leave_after_body(size)) == f"cancelled after {size} bytes"


def test_probes_are_answered_on_one_connection_however_many():
    """Guards against bytes of answered probes that count as unread for ever."""

    async def scenario(fleet):
        reader, writer = await asyncio.open_connection(GATEWAY_HOST, 8001)
        for _ in range(1_000):
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nX-Pad: " + b"x" * 80)
            writer.write(b"\r\n\r\n")
            async with asyncio.timeout(1.0):
                assert b"HTTP/1.1" in await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    run_fleet(scenario)


def test_hop_by_hop_headers_are_not_forwarded():
    async def scenario(fleet):
        fields = {"Connection": "X-Private", "X-Private": "1", "X-Public": "2"}
        await call("/look/1", "r-1", fields=fields)
        arrived = fleet.arrivals[0].fields
        assert arrived["x-public"] == "2"
        assert "x-private" not in arrived

    run_fleet(scenario)


def test_shutdown_completes_all_requests():
    """The gateway is shut down while it streams, and a caller's next request comes on
    a keep-alive connection. The stream is completed, the next response asks the caller
    to close the connection, and the process exits by itself.
    """
    from tests.gateway_world import model_fields

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.events = 40
            server.behaviour.gap_s = 0.1
        caller = await Caller().open()
        await caller.request("/look/1", "r-0", method="GET")
        stream = asyncio.create_task(call("/draft/1", "r-1", fields=model_fields("k")))
        await asyncio.sleep(0.5)
        stop = asyncio.create_task(fleet.stop_gateway("gateway-0"))
        await asyncio.sleep(0.5)
        assert not fleet.gateways["gateway-0"].pages.is_ready()
        late = await caller.request("/look/1", "r-2", method="GET")
        assert late.status == 200 and late.headers["connection"] == "close"
        fresh = await call("/look/1", "r-3", method="GET")
        assert fresh.status == 200
        answer = await stream
        assert answer.complete and answer.body.count(b"id:") == 40
        await stop

    run_fleet(scenario)


def test_connection_closes_after_a_stream_during_shutdown():
    """A stream that began before the shutdown did not ask the caller to close the
    connection. Without a close after the stream, the caller's next request on it would
    come seconds later and be interrupted by the exit of the process.
    """
    from tests.gateway_world import model_fields

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.events = 40
            server.behaviour.gap_s = 0.1
        caller = await Caller().open()
        caller.send("/draft/1", "r-1", fields=model_fields())
        await asyncio.sleep(0.5)
        stop = asyncio.create_task(fleet.stop_gateway("gateway-0"))
        answer = await caller.read()
        assert answer.complete
        assert await caller.reader.read() == b""
        await stop

    run_fleet(scenario)


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 8.0])
def test_gateway_exits_within_its_grace_period(grace_s):
    """Guards against a shutdown that outlasts the grace period of the process."""

    async def scenario(fleet):
        caller = await Caller().open()
        await caller.request("/look/1", "r-0", method="GET")
        began_s = asyncio.get_running_loop().time()
        await fleet.stop_gateway("gateway-0")
        assert asyncio.get_running_loop().time() - began_s < grace_s
        # The connection was closed properly, not reset by the exit of the process.
        assert await caller.reader.read() == b""

    run_fleet(scenario, grace_s=grace_s)


def test_a_raised_header_limit_holds_on_open_connections():
    """Guards against 431 on a connection that was open before the operator raised the
    limit, for a head that arrives in two parts.
    """

    async def scenario(fleet):
        caller = await Caller().open()
        first = await caller.request("/look/1", "1")
        limits = CallerLimits(max_header_bytes=16_384)
        fleet.publish(catalogue(2, limits=limits))
        await asyncio.sleep(1.0)
        head = (
            b"GET /look/1 HTTP/1.1\r\nHost: api.example\r\nAcaciacove-Attempt-Id: 2\r\n"
            b"Authorization: Bearer key-of-ozark\r\nX-Long: " + b"x" * 8_000
        )
        caller.writer.write(head)
        await asyncio.sleep(0.1)
        caller.writer.write(b"\r\n\r\n")
        line = await caller.reader.readline()
        return first.status, line

    limits = CallerLimits(max_header_bytes=4_096)
    status, line = run_fleet(scenario, published=catalogue(limits=limits))
    assert status == 200
    assert line.startswith(b"HTTP/1.1 200")
