"""Answers the platform's readiness probes and scrapes of metrics."""

import asyncio
from collections.abc import Callable

import h11
from attrs import frozen

from acaciacove.gateway.http.connection import HttpConnection

MAX_PROBE_HEADER_BYTES = 8_192
# A connection without a complete request for this long is closed. The balancer probes
# each second, and metrics are read every few seconds.
REQUEST_TIMEOUT_S = 15.0


@frozen
class ProbeAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain"


class ProbeProtocol(HttpConnection):
    """One connection of the balancer or of a scraper."""

    def __init__(self, answer: Callable[[str], ProbeAnswer]) -> None:
        """Answer each path with what ``answer`` returns for it."""
        super().__init__(h11.SERVER, MAX_PROBE_HEADER_BYTES)
        self._answer_path = answer
        self._is_writable = True
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first request."""
        super().connection_made(transport)
        self._restart_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to wait for requests."""
        super().connection_lost(exc)
        if self._timeout is not None:
            self._timeout.cancel()

    def _restart_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(REQUEST_TIMEOUT_S, self.abort)

    def pause_writing(self) -> None:
        """Note that the client does not read its answers."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Note that the client reads again."""
        self._is_writable = True

    def data_received(self, data: bytes) -> None:
        """Answer every complete request."""
        super().data_received(data)
        try:
            self._answer_all()
        except h11.ProtocolError:
            self.abort()
            return
        # All of it is processed. Counted as unread, the bytes of some hundred probes
        # on one connection would stop it from being read.
        self._resume_reading()

    def _answer_all(self) -> None:
        path = ""
        while True:
            event = self.h11.next_event()
            if isinstance(event, h11.Request):
                path = bytes(event.target).decode("latin-1").split("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                # The status of a large fleet has some hundred kilobytes. A client that
                # sends more requests without reading would fill the memory with it.
                if not self._is_writable:
                    self.abort()
                    return
                self._answer(self._answer_path(path))
                self._restart_timeout()
                if self.h11.our_state is not h11.DONE:
                    self.close()
                    return
                self.h11.start_next_cycle()
            elif not isinstance(event, h11.Data):
                return

    def _answer(self, answer: ProbeAnswer) -> None:
        headers = [
            (b"Content-Type", answer.content_type),
            (b"Content-Length", str(len(answer.body)).encode()),
        ]
        self.send(h11.Response(status_code=answer.status, headers=headers))
        if answer.body:
            self.send(h11.Data(data=answer.body))
        self.send(h11.EndOfMessage())
