"""Answers that are cut off, among them those that only their connection delimits."""

import asyncio
import struct
from socket import SO_LINGER, SOL_SOCKET

import h11
import pytest

from acaciacove.gateway.http.endpoint_connection import connect
from acaciacove.gateway.http.errors import ConnectionLostError
from tests.gateway_world import call, draft, lines, model_fields, run_fleet, runs_of

ALL_EVENTS = ["id: 1", "id: 2", "id: 3", "id: 4"]
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


def set_behaviour(fleet, prefix="", **values):
    for name, server in fleet.endpoints.items():
        if name.startswith(prefix):
            for field, value in values.items():
                setattr(server.behaviour, field, value)


def ids(answer):
    return [w for w in answer.body.decode().split("\n") if w.startswith("id:")]


def test_close_delimited_answers_arrive_whole():
    """Guards against a check of the end that breaks off whole answers."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True)
        stream = await draft("r-1")
        lookup = await call("/look/1", "r-2", method="GET")
        booking = await call("/book/1", "r-3")
        assert stream.complete and ids(stream) == ALL_EVENTS
        assert lookup.complete and lookup.body.endswith(b"served r-2")
        assert booking.complete and booking.body.endswith(b"served r-3")
        ends = lines(fleet, "response_close_delimited")
        assert [line["kept_bytes"] for line in ends][0] == 0
        assert all(len(runs_of(fleet, f"r-{n}")) == 1 for n in (1, 2, 3))

    run_fleet(scenario)


def test_close_delimited_stream_that_ends_inside_an_event_is_not_complete():
    """Guards against half an event that reaches its caller as the end of a stream."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True, cut_after=2)
        answer = await call("/once/1", "r-1", fields=model_fields())
        assert not answer.complete
        assert ids(answer) == ["id: 1", "id: 2"] and answer.body.endswith(b"\n\n")
        assert len(runs_of(fleet, "r-1")) == 1

    run_fleet(scenario)


def test_close_delimited_stream_that_ends_inside_an_event_is_resumed():
    """Guards against a caller who loses the rest of a stream that may be resumed."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True)
        set_behaviour(fleet, "model-0", cut_after=2)
        for number in range(4):
            answer = await draft(f"r-{number}", key=f"k{number}")
            assert answer.complete and ids(answer) == ALL_EVENTS
        assert any(a.fields.get("last-event-id") == "2" for a in fleet.arrivals)

    run_fleet(scenario)


def test_chunked_stream_that_ends_inside_an_event_is_not_complete():
    """Guards against chunks in order that hide the cut inside an event."""

    async def scenario(fleet):
        set_behaviour(fleet, cut_after=2, ends_inside_event=True)
        answer = await call("/once/1", "r-1", fields=model_fields())
        assert not answer.complete and ids(answer) == ["id: 1", "id: 2"]

    run_fleet(scenario)


def test_document_on_a_streaming_route_arrives_whole():
    """Guards against a document that is broken off, as it has no complete event."""

    async def scenario(fleet):
        set_behaviour(fleet, document=b'{"choices": []}')
        answer = await call("/once/1", "r-1", fields=model_fields())
        assert answer.complete and answer.body == b'{"choices": []}'

    run_fleet(scenario)


@pytest.mark.parametrize("events", [0, 2])
def test_close_delimited_stream_is_not_complete_if_its_endpoint_crashed(events):
    """Guards against a crash between two events that looks like the end of a stream."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True, crash_after=events)
        answer = await call("/once/1", "r-1", fields=model_fields())
        assert not answer.complete or answer.status == 502
        assert ids(answer) == ALL_EVENTS[:events]
        assert len(runs_of(fleet, "r-1")) == 1

    run_fleet(scenario)


def test_close_delimited_stream_without_an_event_is_not_complete():
    """Guards against an empty success where an endpoint closed after its head."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True, events=0)
        answer = await call("/once/1", "r-1", fields=model_fields())
        assert answer.status == 502

    run_fleet(scenario)


def test_refusal_whose_body_is_cut_is_still_a_refusal():
    """Guards against a booking that fails although no endpoint has run it.

    The head of a refusal says that it has not run, whatever becomes of the rest.
    """

    async def scenario(fleet):
        set_behaviour(fleet, "app-0", full=True, cut_refusals=True)
        answers = [await call("/book/1", f"b-{n}") for n in range(4)]
        assert [a.status for a in answers] == [200] * 4
        set_behaviour(fleet, "app-1", full=True, cut_refusals=True)
        assert (await call("/book/1", "b-9")).status == 503
        assert lines(fleet, "refusal_cut")

    run_fleet(scenario)


def test_close_delimited_body_is_not_complete_if_its_endpoint_crashed():
    """Guards against half a body that reaches its caller as a success."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True)
        set_behaviour(fleet, "app-0", crash_after=0)
        answers = [await call("/look/1", "r-1", method="GET")]
        answers += [await call("/book/1", f"b-{n}") for n in range(4)]
        for answer in answers:
            assert answer.status in (200, 502)
            assert answer.status == 502 or b" served " in answer.body
        assert {len(runs_of(fleet, f"b-{n}")) for n in range(4)} == {1}

    run_fleet(scenario)


def test_close_delimited_body_is_fetched_again_after_a_crash():
    """Guards against a failure of a request that another endpoint can serve."""

    async def scenario(fleet):
        set_behaviour(fleet, close_delimited=True)
        set_behaviour(fleet, "app-0", crash_after=0)
        answers = [await call(f"/look/{n}", f"r-{n}", method="GET") for n in range(4)]
        assert all(a.status == 200 and b"app-1 served" in a.body for a in answers)

    run_fleet(scenario)


async def serve_raw(data, reset):
    """Serve ``data`` to each connection and end it in order, or with a reset."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def test_close_delimited_answer_that_is_reset_is_not_complete():
    """Guards against a reset that is taken for the end of an answer."""

    async def run(reset):
        server, port = await serve_raw(HEAD + EVENT, reset)
        async with server:
            connection = await connect("127.0.0.1", port, 1.0)
            request = h11.Request(method="GET", target="/", headers=[("Host", "x")])
            connection.send_request(request, b"")
            events = []
            while not events or not isinstance(events[-1], h11.EndOfMessage):
                events.append(await connection.next_response_event())

    asyncio.run(run(reset=False))
    with pytest.raises(ConnectionLostError):
        asyncio.run(run(reset=True))
