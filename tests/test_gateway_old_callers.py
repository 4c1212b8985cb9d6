"""Answers to callers of HTTP/1.0, which has no chunks."""

import asyncio

import pytest

from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.platform.header_fields import DIALECT
from acaciacove.standins.gateway_fleet import STANDIN_LIMITS

EVENT = b"id: 1\ndata: x\n\n"


@pytest.mark.parametrize("is_cut", [False, True])
def test_answer_to_an_old_caller_is_reset_if_it_is_cut(is_cut):
    """Guards against a cut answer that looks complete to a caller without chunks.

    HTTP/1.0 has no chunks: the end of the connection is the end of the answer.
    """

    async def serve(request, front):
        front.start_response(200, b"", [])
        await front.write(EVENT)
        await asyncio.sleep(0.05)
        if is_cut:
            front.abort_response()
        else:
            front.finish_response()

    async def run():
        def protocol():
            return FrontConnection(
                serve, DIALECT, lambda: STANDIN_LIMITS, lambda: False, set()
            )

        loop = asyncio.get_running_loop()
        server = await loop.create_server(protocol, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.0\r\nHost: x\r\n\r\n")
            try:
                body = (await reader.read()).partition(b"\r\n\r\n")[2]
            finally:
                writer.close()
            assert body == EVENT

    if is_cut:
        with pytest.raises(ConnectionResetError):
            asyncio.run(run())
    else:
        asyncio.run(run())
