"""One connection to an endpoint: a request at a time, kept between requests."""

import asyncio
import contextlib
import socket
from typing import Any

import h11

from acaciacove.gateway.http.connection import HttpConnection
from acaciacove.gateway.http.errors import (
    ConnectFailedError,
    ConnectionLostError,
    ConnectRefusedError,
    InvalidResponseError,
)

MAX_RESPONSE_HEADER_BYTES = 65_536
# How long written bytes may stay without acknowledgement. A machine without
# power answers nothing, not even a reset: without this bound a send hangs for
# minutes. Three round trips of a lossy link fit in, a caller's patience does not.
TCP_USER_TIMEOUT_MS = 1_500


class EndpointConnection(HttpConnection):
    """The client side of a kept connection."""

    def __init__(self) -> None:
        """Begin unconnected and unused."""
        super().__init__(h11.CLIENT, MAX_RESPONSE_HEADER_BYTES)
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        self.busy = False
        self._request: h11.Request | None = None

    def data_received(self, data: bytes) -> None:
        """Drop the connection when bytes come that nobody asked for.

        An endpoint may send a second answer after a complete one. Kept, it would
        be read as the answer to the next caller's request.
        """
        if not self.busy:
            self.abort()
            return
        super().data_received(data)

    def send_request(self, request: h11.Request, body: bytes) -> None:
        """Write a whole request."""
        self.busy = True
        self._request = request
        try:
            self.send(request)
            if body:
                self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(str(error)) from error

    async def next_response_event(self) -> Any:
        """Return the next event; protocol faults are InvalidResponseError."""
        try:
            event = await self.next_event()
        except h11.RemoteProtocolError as error:
            raise InvalidResponseError(str(error)) from error
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise ConnectionLostError("the endpoint closed the connection")
        return event

    async def skip_response(self) -> None:
        """Read an answer that belongs to an earlier request to its end.

        A late second answer stands where the own one is expected. It is dropped
        whole, and a new state machine goes on with the bytes behind it.
        """
        while not isinstance(await self.next_response_event(), h11.EndOfMessage):
            pass
        rest, closed = self.h11.trailing_data
        if closed and not rest:
            raise ConnectionLostError("the endpoint closed the connection")
        assert self._request is not None
        self.h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        self.h11.send(self._request)
        if self.h11.our_state is h11.SEND_BODY:
            self._replay_request_body()
        if rest:
            self.h11.receive_data(rest)

    def _replay_request_body(self) -> None:
        """Bring the new state machine to where the real request stands."""
        assert self._request is not None
        length = dict(self._request.headers).get(b"content-length", b"0")
        if int(length):
            self.h11.send(h11.Data(data=bytes(int(length))))
        self.h11.send(h11.EndOfMessage())

    def finish_exchange(self) -> bool:
        """End an exchange; tells whether the connection may serve another."""
        self.busy = False
        rest, _ = self.h11.trailing_data
        kept = self.is_open and not rest and self.h11.our_state is h11.DONE
        if not kept or self.h11.their_state is not h11.DONE:
            self.abort()
            return False
        self.h11.start_next_cycle()
        return True


async def connect(host: str, port: int, timeout_s: float) -> EndpointConnection:
    """Open a connection; raises ConnectFailedError."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(EndpointConnection, host, port)
    except ConnectionRefusedError as error:
        raise ConnectRefusedError(f"{type(error).__name__}: {error}") from error
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(f"{type(error).__name__}: {error}") from error
    set_tcp_user_timeout(connection)
    return connection


def set_tcp_user_timeout(connection: HttpConnection) -> None:
    """Let the kernel end a connection whose bytes are not acknowledged."""
    if connection.transport is None:
        return
    sock = connection.transport.get_extra_info("socket")
    # A socket of a test's loop knows no such option.
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
