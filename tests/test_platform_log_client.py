"""The client of the platform's log, and responses that are not what it expects."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import PlatformUnavailableError
from acaciacove.gateway.log_stream import LogStream
from acaciacove.platform.log_client import LogClient
from tests.raw_server import raw_server, response
from tests.virtual import run_virtual

PAGE_HEAD_BYTES = 16
MALFORMED = (
    b"{}",
    b"[]",
    b"\xff",
    b'{"endOffset": null}',
    b'{"endOffset": "x", "items": []}',
    b'{"endOffset": 1, "items": 3}',
    b'{"endOffset": 1, "items": [3]}',
    b'{"endOffset": 1, "items": [{"key": "k"}]}',
    b'{"endOffset": 1, "items": [{"key": "k", "offset": {}, "value": "eA=="}]}',
    b'{"endOffset": 1, "items": [{"key": "k", "offset": 1, "value": "e"}]}',
)


def call_log(body, make_call):
    """Make one call to a log that responds with this body."""

    async def respond(request):
        return response(body)

    async def run():
        async with raw_server(respond) as server:
            host, _, port = server.url.removeprefix("http://").partition(":")
            client = LogClient(host, int(port), "gateway-0")
            try:
                return await make_call(client)
            finally:
                client.close()

    return asyncio.run(run())


@pytest.mark.parametrize("body", MALFORMED)
def test_a_malformed_response_of_the_log_is_a_failed_call(body):
    """Guards against a process that ends because the log's answer lacks a field."""
    with pytest.raises(PlatformUnavailableError):
        call_log(body, lambda client: client.newest(LogStream.OPERATOR))


@pytest.mark.parametrize("body", MALFORMED[:5])
def test_a_malformed_response_to_an_append_is_a_failed_call(body):
    """Guards against a process that ends because the log's answer lacks a field."""
    with pytest.raises(PlatformUnavailableError):
        call_log(body, lambda c: c.append(LogStream.MEMBERS, "k", b"v", None))


@given(st.binary(max_size=80))
@settings(max_examples=30, derandomize=True, deadline=None)
def test_arbitrary_bytes_are_a_page_or_a_failed_call(body):
    """Guards against bytes of the log that end the process."""

    def read():
        return call_log(body, lambda client: client.read(LogStream.OPERATOR, 5, 0.0))

    if len(body) < PAGE_HEAD_BYTES:
        with pytest.raises(PlatformUnavailableError):
            read()
        return
    page = read()
    assert page.next_offset == 5 + len(page.records)


@pytest.mark.parametrize("size_bytes", [0, 8, 15])
def test_a_page_of_the_log_that_is_cut_in_its_head_is_a_failed_call(size_bytes):
    """Guards against a cut page that confirms an old view as the newest.

    Without the head, nothing says up to where the log goes.
    """
    page = (9).to_bytes(8) + (0).to_bytes(8)

    def read(body):
        return call_log(body, lambda client: client.read(LogStream.OPERATOR, 4, 0.0))

    assert read(page).is_partial
    with pytest.raises(PlatformUnavailableError):
        read(page[:size_bytes])


PAGE = response((5).to_bytes(8) + (0).to_bytes(8))
WAIT_S = 1.5


def read_from(respond):
    """Read from a log with this handler, on the virtual loop.

    Returns the page or the error, the seconds that it took, and the paths of all calls.
    """

    async def run():
        loop = asyncio.get_running_loop()
        async with raw_server(respond) as server:
            host, _, port = server.url.removeprefix("http://").partition(":")
            client = LogClient(host, int(port), "gateway-0")
            began_s = loop.time()
            try:
                result = await client.read(LogStream.ENDPOINTS, 5, WAIT_S)
            except PlatformUnavailableError as error:
                result = error
            client.close()
            return result, loop.time() - began_s, [r.path for r in server.requests]

    return run_virtual(run)


async def never(request):
    await asyncio.Event().wait()


def test_a_silent_read_is_repeated_on_another_connection():
    """Guards against a hanging call that hides the return of the log: its bytes were
    lost, while a new connection gets an answer at once.
    """

    async def respond(request):
        return PAGE if request.connection == 2 else await never(request)

    page, took_s, paths = read_from(respond)
    assert page.is_repeated and page.asked_after_s == pytest.approx(WAIT_S + 0.5)
    assert took_s == pytest.approx(WAIT_S + 0.5, abs=0.1)
    assert "waitMs=1500" in paths[0] and "waitMs=0" in paths[1]


def test_a_read_that_is_answered_late_is_not_taken_for_the_repeated_one():
    """Guards against a view that counts as read later than it was."""

    async def respond(request):
        if request.connection == 1:
            await asyncio.sleep(WAIT_S + 0.7)
            return PAGE
        await asyncio.sleep(1.0)
        return PAGE

    page, took_s, paths = read_from(respond)
    assert not page.is_repeated and page.asked_after_s == 0.0
    assert took_s == pytest.approx(WAIT_S + 0.7, abs=0.1) and len(paths) == 2


def test_calls_to_a_log_that_stays_silent_are_bounded():
    """Guards against ever more calls to a log that does not answer."""
    error, took_s, paths = read_from(never)
    assert isinstance(error, PlatformUnavailableError)
    assert took_s == pytest.approx(WAIT_S + 1.0, abs=0.1)
    assert len(paths) <= 4


def test_a_refusal_to_a_repeated_read_ends_the_silent_one():
    """Guards against a second of waiting for a log that just said that it is busy."""
    busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"

    async def respond(request):
        return busy if request.connection == 2 else await never(request)

    error, took_s, _ = read_from(respond)
    assert isinstance(error, PlatformUnavailableError)
    assert took_s == pytest.approx(WAIT_S + 0.5, abs=0.1)


def test_an_append_is_never_repeated():
    """Guards against a record that is written twice after a silent call."""

    async def run():
        async with raw_server(never) as server:
            host, _, port = server.url.removeprefix("http://").partition(":")
            client = LogClient(host, int(port), "gateway-0")
            with pytest.raises(PlatformUnavailableError):
                await client.append(LogStream.MEMBERS, "k", b"v", None)
            client.close()
            return len(server.requests)

    assert run_virtual(run) == 1
