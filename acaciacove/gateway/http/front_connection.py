"""Server side of a caller's connection, with one request at a time."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import (
    BadRequestError,
    CallerDisconnectedError,
    ConnectionLostError,
)
from acaciacove.gateway.http.held_bytes import HeldBytes
from acaciacove.gateway.http.response_connection import ResponseConnection

Serve = Callable[[CallerRequest, "FrontConnection"], Awaitable[None]]

# How long the connection stays open for a refused caller to read the refusal.
LINGER_TIMEOUT_S = 1.0
LINGER_POLL_S = 0.05


class FrontConnection(ResponseConnection):
    """Serves a caller's requests, one after the other.

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
        super().__init__(dialect, limits, held or HeldBytes(), is_draining)
        self._serve = serve
        self._connections = connections
        self._refuse_unread = refuse_unread or serve
        self._may_accept = may_accept
        self._task: asyncio.Task[None] | None = None
        self._discarding = False
        self.serving = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves this connection, or close it."""
        super().connection_made(transport)
        assert self.transport is not None
        if not self._may_accept():
            self._discarding = True
            self.abort()
            return
        self._open_output(self.transport)
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
