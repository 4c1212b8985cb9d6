"""A bare HTTP server whose handler decides byte by byte what happens."""

import asyncio
import re
from contextlib import asynccontextmanager

from attrs import define, field


@define
class RawRequest:
    """What came in: on which connection, as its how-manieth request."""

    method: str
    path: str
    connection: int
    number: int


@define
class RawServer:
    """Keeps every request; ``url`` is where it listens."""

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
async def raw_server(answer):
    """Serve; ``answer(request)`` returns bytes, or None to drop the connection."""
    server = RawServer()

    async def handle(reader, writer):
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
                data = await answer(request)
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

    listening = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    server.url = f"http://127.0.0.1:{port}"
    try:
        yield server
    finally:
        listening.close()
