"""A TCP connection whose bytes are framed by an h11 state machine."""

import asyncio
import contextlib
import socket
from typing import Any

import h11

from acaciacove.gateway.http.errors import ConnectionLostError

# Reading from the socket pauses when more bytes than this are unread, so that a fast
# sender is slowed down by flow control instead of filling memory.
READ_AHEAD_BYTES = 65_536


class HttpConnection(asyncio.Protocol):
    """Adapts asyncio's protocol callbacks to awaitable h11 events.

    Subclasses define how the end of the connection is treated.
    """

    def __init__(self, role: Any, max_header_bytes: int) -> None:
        """Start unconnected; ``role`` is h11.CLIENT or h11.SERVER."""
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
        """Return whether neither side is known to have closed the connection."""
        return not (
            self.lost
            or self._eof_seen
            or self.transport is None
            or self.transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        # Sockets of a virtual event loop have no options.
        with contextlib.suppress(AttributeError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Feed bytes to the state machine and wake the reader."""
        self.h11.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            assert self.transport is not None
            self.transport.pause_reading()
        self._input_ready.set()

    def eof_received(self) -> bool:
        """Signal the end of input to the state machine."""
        self._eof_seen = True
        self.h11.receive_data(b"")
        self._input_ready.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader and the writer; both then raise ConnectionLostError."""
        self.lost = True
        self._input_ready.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Block ``drain``: the other side reads slowly and the buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock ``drain``."""
        self._writable.set()

    async def next_event(self) -> Any:
        """Return the next h11 event.

        Raises ConnectionLostError, or h11.RemoteProtocolError for invalid input.
        """
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.lost:
                raise ConnectionLostError(
                    "the connection was lost while waiting for the next HTTP event"
                )
            self._input_ready.clear()
            self._resume_reading()
            await self._input_ready.wait()

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._reading_paused and self.transport is not None:
            self._reading_paused = False
            self.transport.resume_reading()

    def send(self, event: Any) -> None:
        """Write an h11 event; raises ConnectionLostError on a closed connection."""
        data = self.h11.send(event)
        if self.lost or self.transport is None or self.transport.is_closing():
            raise ConnectionLostError(
                f"cannot send {type(event).__name__}: the connection is closed"
            )
        if data:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait while writing is paused because the write buffer is full."""
        await self._writable.wait()
        if self.lost:
            raise ConnectionLostError(
                "the connection was lost while written bytes were still unsent"
            )

    def abort(self) -> None:
        """Close immediately and drop unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close after the write buffer has been flushed."""
        if self.transport is not None:
            self.transport.close()
