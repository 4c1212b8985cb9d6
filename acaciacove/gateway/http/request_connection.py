"""The reading side of a caller's connection: one request after another."""

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.check_head import (
    refuse_ambiguous_framing,
    refuse_too_large,
)
from acaciacove.gateway.http.connection import HttpConnection
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import BadRequestError, BodyOverBudgetError
from acaciacove.gateway.http.held_bytes import HeldBytes
from acaciacove.gateway.http.read_body import (
    BAD_REQUEST_STATUS,
    REQUEST_TIMEOUT_STATUS,
    read_body,
)


class RequestConnection(HttpConnection):
    """Reads requests within the limits that are in force when each one begins."""

    def __init__(
        self, dialect: Dialect, limits: Callable[[], CallerLimits], held: HeldBytes
    ) -> None:
        """Start unconnected; ``held`` limits the bytes of bodies."""
        self._max_header_bytes = limits().max_header_bytes
        super().__init__(h11.SERVER, self._max_header_bytes)
        self._dialect = dialect
        self._limits = limits
        self._held = held
        self._body = ByteAccount(held.budget)
        self._first_byte_s: float | None = None
        # Set if a body was left unread: what follows it cannot be told apart from it.
        self._must_close = False

    def data_received(self, data: bytes) -> None:
        """Record when a request's first byte arrived; its deadline counts from then."""
        if self._first_byte_s is None:
            self._first_byte_s = asyncio.get_running_loop().time()
        super().data_received(data)

    async def _read_request(self) -> CallerRequest | None:
        """Return the next request; None if the caller closed or was idle too long."""
        head = await self._read_head()
        if head is None:
            return None
        refuse_ambiguous_framing(head)
        refuse_too_large(head, self._limits())
        arrived_s = self._first_byte_s
        assert arrived_s is not None
        try:
            body = await self._read_body(head)
        except BodyOverBudgetError:
            self._body.clear()
            self._must_close = True
            body = b""
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
        if self._first_byte_s is None:
            idle_timeout_s = self._limits().idle_timeout_s
            if not await self._wait_for_first_byte(idle_timeout_s):
                return None
        limits = self._limits()
        self._apply_head_limit(limits.max_header_bytes)
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

    def _apply_head_limit(self, max_header_bytes: int) -> None:
        """Begin a request with the limit that is in force now.

        The state machine has one limit for good, and a connection outlives catalogues.
        """
        if max_header_bytes == self._max_header_bytes:
            return
        received, is_closed = self.h11.trailing_data
        self._max_header_bytes = max_header_bytes
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )
        if received:
            self.h11.receive_data(received)
        if is_closed:
            self.h11.receive_data(b"")

    async def _wait_for_first_byte(self, idle_timeout_s: float) -> bool:
        """Wait on an idle connection; returns False on idle timeout or close."""
        try:
            async with asyncio.timeout(idle_timeout_s):
                while self._first_byte_s is None:
                    if self.lost or self._eof_seen:
                        return False
                    self._input_ready.clear()
                    await self._input_ready.wait()
        except TimeoutError:
            return False
        return True

    async def _read_body(self, head: h11.Request) -> bytes:
        declared_bytes = int(dict(head.headers).get(b"content-length", b"0"))
        if not self._held.fits(declared_bytes):
            raise BodyOverBudgetError(
                f"a request body of {declared_bytes} bytes exceeds the free memory"
            )
        if self.h11.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        return await read_body(
            self._next_caller_event,
            lambda size_bytes: self._held.reserve(self._body, size_bytes),
            self._limits(),
        )

    async def _next_caller_event(self) -> Any:
        try:
            return await self.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or BAD_REQUEST_STATUS
            raise BadRequestError(status, str(error)) from error
