"""Server side of a caller's connection, with one request at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import (
    BadRequestError,
    CallerDisconnectedError,
    ConnectionLostError,
)
from acaciacove.gateway.http.held_bytes import HeldBytes
from acaciacove.gateway.http.output_queue import OutputQueue
from acaciacove.gateway.http.request_connection import RequestConnection

Headers = list[tuple[bytes, bytes]]
Serve = Callable[[CallerRequest, "FrontConnection"], Awaitable[None]]

# How long the connection stays open for a refused caller to read the refusal.
LINGER_TIMEOUT_S = 1.0
LINGER_POLL_S = 0.05


class FrontConnection(RequestConnection):
    """Serves a caller's requests and writes the responses.

    A task reads one request after another and passes each to ``serve``, which
    responds through this object. When the caller disconnects, the task is cancelled,
    so that all work on its request stops immediately.
    """

    def __init__(
        self,
        serve: Serve,
        dialect: Dialect,
        limits: Callable[[], CallerLimits],
        is_draining: Callable[[], bool],
        connections: set["FrontConnection"],
        held: HeldBytes | None = None,
        refuse_unread: Serve | None = None,
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start unconnected.

        The connection is a member of ``connections`` while it is open. ``limits`` is
        called for each request. ``is_draining`` returns whether the gateway is
        shutting down, so that a response also closes the connection. ``held`` limits
        the bytes of bodies and unread responses; ``refuse_unread`` responds to a
        request whose body does not fit, and has been left unread. ``may_accept``
        returns whether the connection is taken; otherwise it is closed at once, with
        everything unread.
        """
        super().__init__(dialect, limits, held or HeldBytes())
        self._serve = serve
        self._is_draining = is_draining
        self._connections = connections
        self._refuse_unread = refuse_unread or serve
        self._may_accept = may_accept
        self._output: OutputQueue | None = None
        self._room = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._discarding = False
        self.serving = False
        self.response_started = False
        self.request_id: str | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves this connection, or close it."""
        super().connection_made(transport)
        assert self.transport is not None
        if not self._may_accept():
            self._discarding = True
            self.abort()
            return
        self._output = OutputQueue(self.transport, ByteAccount(self._held.budget))
        self.count_unread_in(self._held.budget)
        self._connections.add(self)
        self._held.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Pass on received bytes, unless the connection is being closed."""
        if not self._discarding:
            super().data_received(data)

    def eof_received(self) -> bool:
        """Treat the end of the caller's input as a disconnect."""
        if self.serving and self._task is not None:
            self._task.cancel()
        elif self._output is not None:
            self._output.move_to_transport()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work on this caller's request."""
        super().connection_lost(exc)
        self._release_held()
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

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

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read or served."""
        if not self.serving and self._first_byte_s is None:
            self.close()

    async def _run(self) -> None:
        try:
            while await self._serve_one():
                pass
            self.close()
        except (ConnectionLostError, CallerDisconnectedError, asyncio.CancelledError):
            self.abort_response()
        except BaseException:
            self.abort_response()
            raise

    async def _serve_one(self) -> bool:
        """Read and serve one request; returns whether another may follow."""
        try:
            request = await self._read_request()
        except BadRequestError as error:
            self._body.clear()
            await self._refuse_bad_request(error)
            return False
        if request is None:
            return False
        self.serving = True
        self.response_started = False
        self.request_id = request.hints.request_id
        try:
            if self._must_close:
                await self._refuse_unread(request, self)
            else:
                await self._serve(request, self)
        finally:
            self.serving = False
            self._body.clear()
        if self._must_close:
            await self._linger()
            return False
        return self._prepare_next()

    def _prepare_next(self) -> bool:
        if self._is_draining():
            # A response that started before the shutdown carried no "Connection:
            # close". The caller would reuse the connection, and the exit of the
            # process would interrupt that request.
            return False
        if self.h11.our_state is not h11.DONE or self._eof_seen:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        rest, _ = self.h11.trailing_data
        now_s = asyncio.get_running_loop().time()
        self._first_byte_s = now_s if rest else None
        return True

    async def _refuse_bad_request(self, error: BadRequestError) -> None:
        """Respond to an unacceptable request with an error, and close.

        Bytes that follow such a request on the connection cannot be distinguished
        from a smuggled request, so they are not parsed.
        """
        if self.lost or self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(error).encode()
        headers = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        self.send(h11.Response(status_code=error.status, headers=headers))
        self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())
        await self._linger()

    async def _linger(self) -> None:
        """Discard further input for a while, so that the caller can read the refusal.

        Closing a socket that has unread input sends a reset, which can overtake the
        refusal.
        """
        self._discarding = True
        assert self.transport is not None and self._output is not None
        self._output.move_to_transport()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._resume_reading()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + LINGER_TIMEOUT_S
        while not (self.lost or self._eof_seen) and loop.time() < deadline_s:
            await asyncio.sleep(LINGER_POLL_S)

    #
    # Response methods for ``serve``
    #

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
