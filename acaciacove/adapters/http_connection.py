"""Connections of the HTTP client that are safe to reuse."""

import socket
from contextvars import ContextVar
from typing import Any

from aiosonic.connection import Connection
from attrs import define


@define
class Sending:
    """Whether this process has sent any byte of a request."""

    has_started: bool = False


current_sending: ContextVar[Sending] = ContextVar("current_sending")


class SafeConnection(Connection):  # type: ignore[misc]
    """A connection that is closed when its request failed or was cancelled.

    The library's connection class returns a reused connection to the pool when its
    request is cancelled or times out. The next request on it would then receive the
    late answer to the first one, and a caller would read another caller's data.
    This class closes the connection instead. It also records in
    ``current_sending`` that bytes were sent, because a request is known not to have
    run only if none were.
    """

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        """Reuse the connection only if the server has not closed it meanwhile.

        A request on a closed connection is lost, and a non-idempotent call would
        needlessly end with an unknown outcome.
        """
        if self.reader is not None and self.reader.at_eof():
            return False
        return bool(super().reuse(urlparsed, verify))

    def write(self, data: bytes) -> None:
        """Send bytes and record that the request has started to be sent."""
        sending = current_sending.get(None)
        if sending is not None:
            sending.has_started = True
        super().write(data)

    async def _connection_made(self) -> None:
        """Set TCP_NODELAY.

        The library resolves addresses without specifying TCP, and asyncio then
        leaves Nagle's algorithm on. Head and body are two writes, the second waits
        for a delayed acknowledgement, and every call takes 40 ms longer.
        """
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await super()._connection_made()

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        """Return the connection to the pool; it is closed if its request failed."""
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)
