"""A minimal HTTP server whose handler returns the raw bytes of each response."""

import asyncio
import re
from contextlib import asynccontextmanager

from attrs import define, field


@define
class RawRequest:
    """A received request; ``number`` is its position on its connection, from 1."""

    method: str
    path: str
    connection: int
    number: int


@define
class RawServer:
    """Records all requests; ``url`` is the address that it listens on."""

    url: str = ""
    requests: list[RawRequest] = field(factory=list)
    connections: int = 0
    closed: int = 0

    def methods(self, path):
        return [r.method for r in self.requests if r.path == path]


def response(body, *headers):
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@asynccontextmanager
async def raw_server(respond):
    """Serve; ``respond(request)`` returns bytes, or None to drop the connection."""
    server = RawServer()

    async def serve_connection(reader, writer):
        server.connections += 1
        connection, number = server.connections, 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                number += 1
                method, path = head.decode().split(" ")[:2]
                request = RawRequest(method, path, connection, number)
                server.requests.append(request)
                data = await respond(request)
                if data is None:
                    break
                writer.write(data)
                if b"Content-Length" not in data:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            server.closed += 1

    listening = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    server.url = f"http://127.0.0.1:{port}"
    try:
        yield server
    finally:
        listening.close()
