"""Keep-alive connection to an endpoint, with one request at a time."""

import asyncio
import contextlib
import socket
from typing import Any

import h11

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.decisions.byte_budget import ByteBudget
from acaciacove.gateway.http.connection import HttpConnection
from acaciacove.gateway.http.errors import (
    ConnectFailedError,
    ConnectionLostError,
    ConnectRefusedError,
    InvalidResponseError,
)
from acaciacove.gateway.http.read_body import MAX_SHORT_PIECES, MIN_PIECE_BYTES

MAX_RESPONSE_HEADER_BYTES = 65_536
# Responses with the status 1xx before the final one. Their number is not limited by
# the protocol.
MAX_INFORMATIONAL_RESPONSES = 16
# A response to an earlier request is skipped if it is no longer than this.
MAX_SKIPPED_BYTES = 65_536
SKIP_TIMEOUT_S = 0.5
# How long sent bytes may stay unacknowledged. A host that has lost power sends
# nothing, not even a reset, and a send would hang for minutes without this bound.
# It is long enough for three round trips on a lossy link and shorter than callers wait.
TCP_USER_TIMEOUT_MS = 1_500


class EndpointConnection(HttpConnection):
    """The client side of a keep-alive connection."""

    def __init__(self) -> None:
        """Start unconnected and unused."""
        super().__init__(h11.CLIENT, MAX_RESPONSE_HEADER_BYTES)
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self.busy = False
        self._request: h11.Request | None = None
        self._informational = 0
        self._short_pieces = 0
        self._unsent = ByteAccount()

    def data_received(self, data: bytes) -> None:
        """Abort the connection if bytes arrive while no request is outstanding.

        An endpoint may send a second response after a complete one. It would be
        read as the response to the next caller's request.
        """
        if not self.busy:
            self.abort()
            return
        self._count_unsent()
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what is held for the endpoint."""
        self._unsent.clear()
        super().connection_lost(exc)

    def resume_writing(self) -> None:
        """Count the bytes that the endpoint has taken."""
        self._count_unsent()

    def count_held_in(self, budget: ByteBudget) -> None:
        """Count unprocessed and unsent bytes of the next exchange in a budget."""
        self.count_unread_in(budget)
        self._unsent.clear()
        self._unsent = ByteAccount(budget)

    def release_held(self) -> None:
        """Release the bytes of an exchange that has ended."""
        self._unread.clear()
        self._unsent.clear()

    def _count_unsent(self) -> None:
        if self.transport is not None and not self.lost:
            self._unsent.set(self.transport.get_write_buffer_size())

    def _must_pause_reading(self) -> bool:
        """Pause earlier than other connections while the budget is almost used up."""
        return super()._must_pause_reading() or not self._unread.may_grow()

    def send_request(self, request: h11.Request, body: bytes) -> None:
        """Write a complete request."""
        self.busy = True
        self._request = request
        self._informational = self._short_pieces = 0
        try:
            self.send(request)
            if body:
                self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(f"cannot send the request: {error}") from error
        self._count_unsent()

    async def next_response_event(self) -> Any:
        """Return the next event of the response.

        Raises InvalidResponseError for a protocol error, and for a response that costs
        too much processor time for its bytes.
        """
        try:
            event = await self.next_event()
        except h11.RemoteProtocolError as error:
            raise InvalidResponseError(
                f"the endpoint's response is not valid HTTP: {error}"
            ) from error
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise ConnectionLostError(
                "the endpoint closed the connection before its response was complete"
            )
        self._count_overhead(event)
        return event

    def _count_overhead(self, event: Any) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._informational += 1
        elif isinstance(event, h11.Data) and len(event.data) < MIN_PIECE_BYTES:
            self._short_pieces += 1
        if self._informational > MAX_INFORMATIONAL_RESPONSES:
            raise InvalidResponseError(
                f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
                " before the final one"
            )
        if self._short_pieces > MAX_SHORT_PIECES:
            raise InvalidResponseError(
                f"a body with more than {MAX_SHORT_PIECES} pieces of less than"
                f" {MIN_PIECE_BYTES} bytes"
            )

    async def skip_response(self) -> None:
        """Skip a response that belongs to an earlier request.

        A late second response may arrive where the response to the current request
        is expected. It is read to its end and dropped, and a new state machine
        continues with the bytes after it. Raises InvalidResponseError if it does not
        end soon: the caller waits for the response after it.
        """
        try:
            async with asyncio.timeout(SKIP_TIMEOUT_S):
                await self._skip_body()
        except TimeoutError:
            raise InvalidResponseError(
                "the response to an earlier request did not end within"
                f" {SKIP_TIMEOUT_S} s"
            ) from None
        rest, closed = self.h11.trailing_data
        if closed and not rest:
            raise ConnectionLostError(
                "the endpoint closed the connection after the response to an earlier"
                " request"
            )
        assert self._request is not None
        self.h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        self.h11.send(self._request)
        if self.h11.our_state is h11.SEND_BODY:
            self._replay_request_body()
        if rest:
            self.h11.receive_data(rest)

    async def _skip_body(self) -> None:
        size_bytes = 0
        while True:
            event = await self.next_response_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                size_bytes += len(event.data)
            if size_bytes > MAX_SKIPPED_BYTES:
                raise InvalidResponseError(
                    "the response to an earlier request exceeds"
                    f" {MAX_SKIPPED_BYTES} bytes"
                )

    def _replay_request_body(self) -> None:
        """Bring the new state machine to the end of the request that was sent."""
        assert self._request is not None
        length = dict(self._request.headers).get(b"content-length", b"0")
        if int(length):
            self.h11.send(h11.Data(data=bytes(int(length))))
        self.h11.send(h11.EndOfMessage())

    def finish_exchange(self) -> bool:
        """End an exchange; returns whether the connection can be reused."""
        self.busy = False
        rest, _ = self.h11.trailing_data
        reusable = self.is_open and not rest and self.h11.our_state is h11.DONE
        if not reusable or self.h11.their_state is not h11.DONE:
            self.abort()
            return False
        self.h11.start_next_cycle()
        return True


async def connect(host: str, port: int, timeout_s: float) -> EndpointConnection:
    """Open a connection; raises ConnectFailedError.

    Raises its subclass ConnectRefusedError if the host refuses the connection.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(EndpointConnection, host, port)
    except ConnectionRefusedError as error:
        raise ConnectRefusedError(
            f"{host}:{port} refused the connection: {error}"
        ) from error
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(
            f"cannot connect to {host}:{port} (timeout {timeout_s} s): "
            f"{type(error).__name__}: {error}"
        ) from error
    set_tcp_user_timeout(connection)
    return connection


def set_tcp_user_timeout(connection: HttpConnection) -> None:
    """Have the kernel close the connection if sent bytes stay unacknowledged."""
    if connection.transport is None:
        return
    sock = connection.transport.get_extra_info("socket")
    # Sockets of a virtual event loop have no such option.
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
