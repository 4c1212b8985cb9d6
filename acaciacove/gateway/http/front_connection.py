"""One connection of a caller: requests in turn, each with one answer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.connection import HttpConnection
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import (
    BadRequestError,
    CallerDisconnectedError,
    ConnectionLostError,
)

Headers = list[tuple[bytes, bytes]]
Serve = Callable[[CallerRequest, "FrontConnection"], Awaitable[None]]

REQUEST_TIMEOUT_STATUS = 408
BODY_TOO_LARGE_STATUS = 413
HEADER_TOO_LARGE_STATUS = 431
BAD_REQUEST_STATUS = 400
# How long a refused caller may take to read its refusal.
LINGER_TIMEOUT_S = 1.0
LINGER_POLL_S = 0.05
# Bytes of a header line beside its name and value.
LINE_OVERHEAD_BYTES = 4


class FrontConnection(HttpConnection):
    """The server side of a caller's connection.

    A task reads one request after another and hands each to ``serve``, which
    answers through this object. When the caller leaves, the task is cancelled,
    so that whatever works for it stops at once.
    """

    def __init__(
        self,
        serve: Serve,
        dialect: Dialect,
        limits: Callable[[], CallerLimits],
        is_draining: Callable[[], bool],
        connections: set["FrontConnection"],
    ) -> None:
        """Join ``connections`` while open; ``limits`` are read at each request."""
        super().__init__(h11.SERVER, limits().max_header_bytes)
        self._serve = serve
        self._dialect = dialect
        self._limits = limits
        self._is_draining = is_draining
        self._connections = connections
        self._task: asyncio.Task[None] | None = None
        self._first_byte_s: float | None = None
        self._discarding = False
        self.serving = False
        self.response_started = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves this connection."""
        super().connection_made(transport)
        self._connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Note when a request's first byte came; a caller's time runs from it."""
        if self._discarding:
            return
        if self._first_byte_s is None:
            self._first_byte_s = asyncio.get_running_loop().time()
        super().data_received(data)

    def eof_received(self) -> bool:
        """Take the end of a caller's bytes for its leaving."""
        if self.serving and self._task is not None:
            self._task.cancel()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop whatever works for this caller."""
        super().connection_lost(exc)
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def close_if_idle(self) -> None:
        """Close when no request is being read or served."""
        if not self.serving and self._first_byte_s is None:
            self.close()

    async def _run(self) -> None:
        try:
            while await self._serve_one():
                pass
            self.close()
        except (ConnectionLostError, CallerDisconnectedError, asyncio.CancelledError):
            self.abort()
        except BaseException:
            self.abort()
            raise

    async def _serve_one(self) -> bool:
        """Read and answer one request; tells whether another may follow."""
        try:
            request = await self._read_request()
        except BadRequestError as error:
            await self._refuse_bad_request(error)
            return False
        if request is None:
            return False
        self.serving = True
        self.response_started = False
        try:
            await self._serve(request, self)
        finally:
            self.serving = False
        return self._prepare_next()

    def _prepare_next(self) -> bool:
        if self._is_draining():
            # A caller whose answer began before the process was told to stop has
            # not been asked to leave. Its next request would be cut by the end.
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

    async def _read_request(self) -> CallerRequest | None:
        """Return the next request; None at a clean end or after idling."""
        head = await self._read_head()
        if head is None:
            return None
        refuse_ambiguous_framing(head)
        refuse_too_large(head, self._limits())
        arrived_s = self._first_byte_s
        assert arrived_s is not None
        body = await self._read_body()
        headers = tuple((bytes(n), bytes(v)) for n, v in head.headers)
        host = dict(headers).get(b"host", b"").decode("latin-1")
        return CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            host=host.rsplit(":", 1)[0] if ":" in host else host,
            headers=headers,
            body=body,
            hints=self._dialect.read_hints(headers),
            arrived_s=arrived_s,
        )

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        if self._first_byte_s is None and not await self._wait_for_first_byte(limits):
            return None
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                event = await self._next_caller_event()
        except TimeoutError:
            raise BadRequestError(REQUEST_TIMEOUT_STATUS, "head too slow") from None
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise BadRequestError(BAD_REQUEST_STATUS, "no request")
        return event

    async def _wait_for_first_byte(self, limits: CallerLimits) -> bool:
        """Wait on an idle connection; false when nothing comes in time."""
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                while self._first_byte_s is None:
                    if self.lost or self._eof_seen:
                        return False
                    self._input_ready.clear()
                    await self._input_ready.wait()
        except TimeoutError:
            return False
        return True

    async def _read_body(self) -> bytes:
        limits = self._limits()
        if self.h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        pieces: list[bytes] = []
        size = 0
        while True:
            try:
                async with asyncio.timeout(limits.header_timeout_s):
                    event = await self._next_caller_event()
            except TimeoutError:
                raise BadRequestError(REQUEST_TIMEOUT_STATUS, "body too slow") from None
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if not isinstance(event, h11.Data):
                raise ConnectionLostError("the caller left within a body")
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise BadRequestError(BODY_TOO_LARGE_STATUS, "body too large")
            pieces.append(bytes(event.data))

    async def _next_caller_event(self) -> Any:
        try:
            return await self.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or BAD_REQUEST_STATUS
            raise BadRequestError(status, str(error)) from error

    async def _refuse_bad_request(self, error: BadRequestError) -> None:
        """Answer bytes that are no acceptable request, and close.

        What follows such bytes on the connection cannot be told from a request
        that somebody else smuggled in, so nothing behind them is read.
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
        """Drop what the caller still sends until it has read its refusal.

        Closed with bytes unread, the connection would be reset, and the reset can
        overtake the refusal on its way.
        """
        self._discarding = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._resume_reading()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LINGER_TIMEOUT_S
        while not (self.lost or self._eof_seen) and loop.time() < until_s:
            await asyncio.sleep(LINGER_POLL_S)

    #
    # What ``serve`` answers with
    #

    def start_response(self, status: int, reason: bytes, headers: Headers) -> None:
        """Send the head of the answer."""
        self.response_started = True
        headers = list(headers)
        if self._is_draining():
            headers.append((b"Connection", b"close"))
        else:
            idle_s = int(self._limits().idle_timeout_s)
            headers.append((b"Keep-Alive", f"timeout={idle_s}".encode()))
        self._send_to_caller(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer at the caller's pace."""
        self._send_to_caller(h11.Data(data=data))
        await self.drain()

    def finish_response(self) -> None:
        """Mark the answer as complete."""
        self._send_to_caller(h11.EndOfMessage())

    def abort_response(self) -> None:
        """End an answer that must not look complete."""
        self.abort()

    def _send_to_caller(self, event: Any) -> None:
        try:
            self.send(event)
        except ConnectionLostError as error:
            raise CallerDisconnectedError("the caller closed its connection") from error


def refuse_ambiguous_framing(head: h11.Request) -> None:
    """Refuse a request whose length can be read in two ways.

    A sender and a receiver that differ on where a body ends let a second request
    ride inside the first, past the checks of its organisation.
    """
    names = [bytes(name) for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise BadRequestError(BAD_REQUEST_STATUS, "two lengths")
    if not bytes(head.target).startswith(b"/") and bytes(head.target) != b"*":
        raise BadRequestError(BAD_REQUEST_STATUS, "the target is no path")
    if names.count(b"host") > 1:
        raise BadRequestError(BAD_REQUEST_STATUS, "two hosts")


def refuse_too_large(head: h11.Request, limits: CallerLimits) -> None:
    """Refuse a head over its limit, and a body that is announced over its own.

    The parser bounds only heads that are not complete yet.
    """
    fields_bytes = sum(
        len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in head.headers
    )
    if len(head.target) + fields_bytes > limits.max_header_bytes:
        raise BadRequestError(HEADER_TOO_LARGE_STATUS, "head too large")
    announced = dict(head.headers).get(b"content-length", b"0")
    if int(announced) > limits.max_body_bytes:
        raise BadRequestError(BODY_TOO_LARGE_STATUS, "body too large")
