"""The writing side of a caller's connection: one response at a time."""

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import (
    CallerDisconnectedError,
    ConnectionLostError,
)
from acaciacove.gateway.http.held_bytes import HeldBytes
from acaciacove.gateway.http.output_queue import OutputQueue
from acaciacove.gateway.http.request_connection import RequestConnection

Headers = list[tuple[bytes, bytes]]


class ResponseConnection(RequestConnection):
    """Writes responses as fast as the caller reads and the budget of bytes allows."""

    def __init__(
        self,
        dialect: Dialect,
        limits: Callable[[], CallerLimits],
        held: HeldBytes,
        is_draining: Callable[[], bool],
    ) -> None:
        """Start unconnected.

        ``is_draining`` returns whether the gateway is shutting down, so that a response
        also closes the connection. ``held`` limits the bytes of unread responses.
        """
        super().__init__(dialect, limits, held)
        self._is_draining = is_draining
        self._output: OutputQueue | None = None
        self._room = asyncio.Event()
        self.response_started = False
        # That of the current request, for log lines.
        self.request_id: str | None = None

    def _open_output(self, transport: asyncio.Transport) -> None:
        self._output = OutputQueue(transport, ByteAccount(self._held.budget))

    def _release_held(self) -> None:
        self._held.discard(self)
        self._body.clear()
        if self._output is not None:
            self._output.clear()
        self._room.set()

    def close(self) -> None:
        """Close after everything that was sent has been written."""
        if self._output is not None and not self.lost:
            self._output.move_to_transport()
        super().close()

    def start_response(self, status: int, reason: bytes, headers: Headers) -> None:
        """Send the head of the response."""
        self.response_started = True
        headers = list(headers)
        if self._is_draining() or self._must_close:
            headers.append((b"Connection", b"close"))
        else:
            idle_s = int(self._limits().idle_timeout_s)
            headers.append((b"Keep-Alive", f"timeout={idle_s}".encode()))
        self._send_to_caller(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of the response body; wait until the answer may grow further.

        Bytes that the caller does not read yet are kept in order.
        """
        assert self._output is not None
        self._send_to_caller(h11.Data(data=data))
        try:
            while not self.lost and not self._output.may_grow():
                self._held.wait(self)
                await self._wait_for_room()
        finally:
            self._held.stop_waiting(self)
        self._check_connected()

    def finish_response(self) -> None:
        """Send the end of the response; ``flush`` waits until all of it is written."""
        self._send_to_caller(h11.EndOfMessage())

    async def flush(self) -> None:
        """Wait until the kernel has taken every byte of the response."""
        while self.unread_bytes:
            await self._wait_for_room()
        self._check_connected()

    async def _wait_for_room(self) -> None:
        self._room.clear()
        await self._room.wait()

    def _check_connected(self) -> None:
        assert self.transport is not None
        if self.lost or self.transport.is_closing():
            raise CallerDisconnectedError(
                "the caller closed its connection before it had read the response"
            )

    def pause_writing(self) -> None:
        """Keep further bytes until the kernel has taken the earlier ones."""
        if self._output is not None:
            self._output.pause()

    def resume_writing(self) -> None:
        """Write kept bytes, and wake the response's writer."""
        if self._output is not None:
            self._output.resume()
        self._room.set()

    def _write(self, data: bytes) -> None:
        assert self._output is not None
        self._output.push(data)

    #
    # What the budget of held bytes sees of the caller
    #

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that the caller has not read."""
        if self._output is None or self.lost:
            return 0
        return self._output.unread_bytes

    @property
    def last_read_s(self) -> float:
        """When the caller last read, on the event loop's clock."""
        return 0.0 if self._output is None else self._output.last_read_s

    @property
    def is_denied(self) -> bool:
        """Whether the budget forbids that the response grows."""
        return (
            self._output is not None
            and not self.lost
            and self._output.is_denied_by_budget()
        )

    def wake_writer(self) -> None:
        """Have ``write`` check again whether the response may grow."""
        self._room.set()

    def cut(self) -> None:
        """Disconnect the caller and release its bytes at once."""
        self.abort_response()
        self._release_held()

    def abort_response(self) -> None:
        """End the connection, so that the response does not look complete.

        A caller of HTTP/1.0 gets a response without chunks. Only a reset shows it that
        the response is cut off.
        """
        if self.response_started and self.h11.their_http_version == b"1.0":
            self.reset()
        else:
            self.abort()

    def _send_to_caller(self, event: Any) -> None:
        try:
            self.send(event)
        except ConnectionLostError as error:
            raise CallerDisconnectedError(
                "the caller closed its connection before the response was complete"
            ) from error
