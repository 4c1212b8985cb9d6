"""Answers the platform's readiness probes and scrapes of metrics."""

from collections.abc import Callable

import h11
from attrs import frozen

from acaciacove.gateway.http.connection import HttpConnection

MAX_PROBE_HEADER_BYTES = 8_192


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
