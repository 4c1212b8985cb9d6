"""A TCP connection whose bytes are framed by an h11 state machine."""

import asyncio
import contextlib
import socket
import struct
from typing import Any

import h11

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.decisions.byte_budget import READ_BYTES, ByteBudget
from acaciacove.gateway.http.errors import ConnectionLostError

# Reading from the socket pauses when more bytes than this are unread, so that a fast
# sender is slowed down by flow control instead of filling memory.
READ_AHEAD_BYTES = 65_536
# Events of bytes that have arrived already are handled in one go up to this number. A
# body in chunks of one byte has thousands in one read, during which no other connection
# would be served.
MAX_EVENTS_PER_TURN = 64
# The value of SO_LINGER with which a close sends a reset: switched on, with no time.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Limits what one read takes from a socket. An asyncio.Protocol reads up to 262,144
# bytes, so that 300 connections could receive 79 MB before any of them pauses. All
# connections share it: a read and the copy of its bytes are one step of the event loop.
_RECEIVE_BUFFER = bytearray(READ_BYTES)


class HttpConnection(asyncio.BufferedProtocol):
    """Adapts asyncio's protocol callbacks to awaitable h11 events.

    Subclasses define how the end of the connection is treated.
    """

    def __init__(self, role: Any, max_header_bytes: int) -> None:
        """Start unconnected; ``role`` is h11.CLIENT or h11.SERVER."""
        self.h11 = h11.Connection(role, max_incomplete_event_size=max_header_bytes)
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self._eof_seen = False
        self._unread = ByteAccount()
        self._reading_paused = False
        self._input_ready = asyncio.Event()
        self._events_in_turn = 0

    @property
    def is_open(self) -> bool:
        """Return whether neither side is known to have closed the connection."""
        return not (
            self.lost
            or self._eof_seen
            or self.transport is None
            or self.transport.is_closing()
        )

    @property
    def is_reading_paused(self) -> bool:
        """Return whether bytes of the other side are left in the kernel."""
        return self._reading_paused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        # Sockets of a virtual event loop have no options.
        with contextlib.suppress(AttributeError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def count_unread_in(self, budget: ByteBudget) -> None:
        """Count received bytes that are not processed yet in a budget from now on."""
        held_bytes = self._unread.held_bytes
        self._unread.clear()
        self._unread = ByteAccount(budget)
        self._unread.set(held_bytes)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on a copy of the bytes that have been read."""
        self.data_received(bytes(_RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Feed bytes to the state machine and wake the reader."""
        self.h11.receive_data(data)
        self._unread.set(self._unread.held_bytes + len(data))
        if self._must_pause_reading() and not self._reading_paused:
            self._reading_paused = True
            assert self.transport is not None
            self.transport.pause_reading()
        self._input_ready.set()

    def _must_pause_reading(self) -> bool:
        return self._unread.held_bytes > READ_AHEAD_BYTES

    def eof_received(self) -> bool:
        """Signal the end of input to the state machine."""
        self._eof_seen = True
        self.h11.receive_data(b"")
        self._input_ready.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader, which then raises ConnectionLostError."""
        self.lost = True
        self._unread.clear()
        self._input_ready.set()

    async def next_event(self) -> Any:
        """Return the next h11 event.

        Raises ConnectionLostError, or h11.RemoteProtocolError for invalid input.
        """
        self._events_in_turn += 1
        if self._events_in_turn > MAX_EVENTS_PER_TURN:
            self._events_in_turn = 1
            await asyncio.sleep(0)
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    unread_bytes = self._unread.held_bytes - len(event.data)
                    self._unread.set(max(0, unread_bytes))
                elif isinstance(event, h11.EndOfMessage):
                    self._count_rest()
                return event
            if self.lost:
                raise ConnectionLostError(
                    "the connection was lost while waiting for the next HTTP event"
                )
            self._events_in_turn = 0
            self._input_ready.clear()
            self._resume_reading()
            await self._input_ready.wait()

    def _count_rest(self) -> None:
        """Count what follows a complete message, and continue to read.

        While reading is paused, the end of the connection is not noticed: a request
        whose caller has left would run to its end.
        """
        rest, _ = self.h11.trailing_data
        if len(rest) <= READ_AHEAD_BYTES:
            self._resume_reading()
        if not self.lost:
            self._unread.set(len(rest))

    def _resume_reading(self) -> None:
        self._unread.clear()
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
            self._write(data)

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def abort(self) -> None:
        """Close immediately and drop unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close at once, with a reset instead of an orderly end."""
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        # Sockets of a virtual event loop have no options.
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()

    def close(self) -> None:
        """Close after the write buffer has been flushed."""
        if self.transport is not None:
            self.transport.close()
