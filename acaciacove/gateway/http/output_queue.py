"""Bytes of answers that a caller has not read yet."""

import asyncio

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.decisions.byte_budget import MAX_ANSWER_BYTES, READ_BYTES

# Bytes passed to the transport at once while the caller reads slowly.
PIECE_BYTES = 16_384
# An answer waits above this, so that the write after it stays within the bound.
MAX_QUEUED_BYTES = MAX_ANSWER_BYTES - READ_BYTES


class OutputQueue:
    """Keeps bytes in order until the transport accepts them.

    The transport pauses its protocol as soon as the kernel does not take everything, so
    ``is_writable`` is false exactly while the transport holds unsent bytes.
    ``last_read_s`` is when the kernel last took some, on the event loop's clock.
    """

    def __init__(self, transport: asyncio.Transport, account: ByteAccount) -> None:
        """Start empty; ``account`` counts what is queued here or in the transport."""
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._account = account
        self._queued = bytearray()
        self.is_writable = True
        self.last_read_s = 0.0

    @property
    def unread_bytes(self) -> int:
        """Bytes that the kernel has not taken."""
        self._count()
        return self._account.held_bytes

    def push(self, data: bytes) -> None:
        """Send bytes after all earlier ones."""
        self._count()
        if not self._account.held_bytes:
            self.last_read_s = asyncio.get_running_loop().time()
        if self._queued or not self.is_writable:
            self._queued += data
        else:
            self._transport.write(data)
        self._count()

    def pause(self) -> None:
        """Keep further bytes here: the kernel has not taken everything."""
        self.is_writable = False

    def resume(self) -> None:
        """Pass bytes to the transport as long as the kernel takes them."""
        self.is_writable = True
        self.last_read_s = asyncio.get_running_loop().time()
        while self._queued and self.is_writable:
            piece = bytes(self._queued[:PIECE_BYTES])
            del self._queued[:PIECE_BYTES]
            self._transport.write(piece)
        self._count()

    def move_to_transport(self) -> None:
        """Pass everything to the transport, which sends it before it closes."""
        if self._queued:
            self._transport.write(bytes(self._queued))
            self._queued.clear()
        self._count()

    def clear(self) -> None:
        """Drop all bytes of a connection that is lost."""
        self._queued.clear()
        self._account.clear()

    def may_grow(self) -> bool:
        """Return whether the bound of an answer and the budget allow more bytes."""
        return self.unread_bytes < MAX_QUEUED_BYTES and self._account.may_grow()

    def is_denied_by_budget(self) -> bool:
        """Return whether the budget, not the bound of an answer, forbids more bytes."""
        return self.unread_bytes < MAX_QUEUED_BYTES and not self._account.may_grow()

    def _count(self) -> None:
        unread_bytes = len(self._queued) + self._transport.get_write_buffer_size()
        if unread_bytes < self._account.held_bytes:
            self.last_read_s = asyncio.get_running_loop().time()
        self._account.set(unread_bytes)
