"""The client of the platform's log, and responses that are not what it expects."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import PlatformUnavailableError
from acaciacove.gateway.log_stream import LogStream
from acaciacove.platform.log_client import LogClient
from tests.raw_server import raw_server, response

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
