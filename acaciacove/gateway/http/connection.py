"""One TCP connection whose bytes are framed by an h11 state machine."""

import asyncio
import contextlib
import socket
from typing import Any

import h11

from acaciacove.gateway.http.errors import ConnectionLostError

# Bytes read ahead of the reader before the socket is no longer read, so that a
# fast sender meets a slow reader's pace instead of filling memory.
READ_AHEAD_BYTES = 65_536


class HttpConnection(asyncio.Protocol):
    """Socket callbacks on one side, awaitable events on the other.

    Subclasses say what the end of the connection means to them.
    """

    def __init__(self, role: Any, max_header_bytes: int) -> None:
        """Begin unconnected; ``role`` is h11.CLIENT or h11.SERVER."""
        self.h11 = h11.Connection(role, max_incomplete_event_size=max_header_bytes)
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self._eof_seen = False
        self._unread_bytes = 0
        self._reading_paused = False
        self._input_ready = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def is_open(self) -> bool:
        """Tell whether bytes can still go both ways, as far as is known."""
        return not (
            self.lost
            or self._eof_seen
            or self.transport is None
            or self.transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        # Sockets of a virtual loop know no options.
        with contextlib.suppress(AttributeError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Hand bytes to the state machine and wake the reader."""
        self.h11.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            assert self.transport is not None
            self.transport.pause_reading()
        self._input_ready.set()

    def eof_received(self) -> bool:
        """Tell the state machine that no byte follows."""
        self._eof_seen = True
        self.h11.receive_data(b"")
        self._input_ready.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits; both waits end with ConnectionLostError."""
        self.lost = True
        self._input_ready.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Hold the writer: the other side reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._writable.set()

    async def next_event(self) -> Any:
        """Return the next h11 event; raises ConnectionLostError, or h11's error."""
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.lost:
                raise ConnectionLostError("the connection was lost")
            self._input_ready.clear()
            self._resume_reading()
            await self._input_ready.wait()

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            self.transport.resume_reading()

    def send(self, event: Any) -> None:
        """Frame an event and write it; raises ConnectionLostError when closed."""
        data = self.h11.send(event)
        if self.lost or self.transport is None or self.transport.is_closing():
            raise ConnectionLostError("the connection is closed")
        if data:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the other side has taken most of what was written."""
        await self._writable.wait()
        if self.lost:
            raise ConnectionLostError("the connection was lost")

    def abort(self) -> None:
        """Close at once; bytes not yet sent are dropped."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close after what was written has gone out."""
        if self.transport is not None:
            self.transport.close()
