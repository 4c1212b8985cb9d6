"""Connections of the HTTP client, made safe to reuse."""

import socket
from contextvars import ContextVar
from typing import Any

from aiosonic.connection import Connection
from attrs import define


@define
class Sending:
    """Whether any byte of a request has left this process."""

    has_started: bool = False


current_sending: ContextVar[Sending] = ContextVar("current_sending")


class SafeConnection(Connection):  # type: ignore[misc]
    """A connection that is dropped when its request did not end well.

    The library's own puts a reused connection back into the pool when its request
    is cancelled or times out; the next request on it would be given the late
    answer to the first one, and a caller would read somebody else's words. This
    one is closed instead. It also notes in ``current_sending`` that bytes have
    left, since only a request of which none has left is known not to have run.
    """

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        """Take only connections that the server has not closed meanwhile.

        A closed one would lose the request, and a call that may not be repeated
        would end with an unknown outcome for nothing.
        """
        if self.reader is not None and self.reader.at_eof():
            return False
        return bool(super().reuse(urlparsed, verify))

    def write(self, data: bytes) -> None:
        """Send bytes, and note that the request has begun to leave."""
        sending = current_sending.get(None)
        if sending is not None:
            sending.has_started = True
        super().write(data)

    async def _connection_made(self) -> None:
        """Send small writes at once.

        The library resolves addresses without naming TCP, and asyncio then leaves
        Nagle's algorithm on: head and body go out as two writes, the second waits
        for a delayed acknowledgement, and every call takes 40 ms longer.
        """
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await super()._connection_made()

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        """Give the connection back, closed if its request failed."""
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)
