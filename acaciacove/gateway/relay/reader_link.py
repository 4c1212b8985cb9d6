"""Requests to one other gateway for records of one stream."""

import asyncio
from collections.abc import Callable

from attrs import evolve

from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.relay.relay_intervals import RelayIntervals
from acaciacove.messages.log_ask import LogAsk
from acaciacove.messages.log_told import LogTold
from acaciacove.wire.connection import Connection, connect

CONNECT_TIMEOUT_S = 0.25


class ReaderLink:
    """One persistent connection, used for one request at a time."""

    def __init__(
        self,
        host: str,
        port: int,
        clock_s: Callable[[], float],
        intervals: Callable[[], RelayIntervals],
        log: EventLog,
    ) -> None:
        """Start without a connection; ``clock_s`` keeps running during a suspend."""
        self.address = (host, port)
        self._clock_s = clock_s
        self._intervals = intervals
        self._log = log
        self._connection: Connection | None = None
        # Bytes of the last reply, also of one that did not arrive completely.
        self.received_bytes = 0

    async def request_records(
        self, request: LogAsk, transfer_s: float
    ) -> LogPage | None:
        """Return the records that the other gateway has, None if its view is too old.

        It is also too old if it is of another era of the log.

        A reply whose bytes keep arriving may take ``transfer_s``. Raises OSError or
        TimeoutError if the other gateway cannot be reached or is slower.
        """
        is_reused = self._connection is not None
        try:
            return await self._request_once(request, transfer_s)
        except ConnectionError as error:
            if not is_reused:
                raise
            self._log.write(
                Event.READER_ASKED_AGAIN,
                routine=True,
                peer="{}:{}".format(*self.address),
                stream=request.stream,
                offset=request.offset,
                detail=str(error),
            )
        # The other gateway has restarted since the last request. That it closed the
        # connection then does not mean that it cannot be reached now.
        return await self._request_once(request, transfer_s)

    async def _request_once(self, request: LogAsk, transfer_s: float) -> LogPage | None:
        intervals = self._intervals()
        hold_s = min(request.wait_s, intervals.request_wait_s)
        completed = False
        self.received_bytes = 0
        requested_boot_s = self._clock_s()
        try:
            if self._connection is None:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self._connection = await connect(*self.address)
            async with asyncio.timeout(hold_s + intervals.reply_margin_s) as limit:
                await self._connection.send(evolve(request, wait_s=hold_s))
                extend = _extend_while_receiving(
                    limit, intervals.reply_margin_s, transfer_s
                )
                reply = await self._connection.receive(extend)
            if not isinstance(reply, LogTold):
                raise ConnectionResetError(
                    f"no LogTold reply from gateway {self.address}"
                    f" for stream {request.stream} from offset {request.offset}:"
                    f" {self._connection.fault or 'the connection was closed'}"
                )
            completed = True
        finally:
            # After a failure a reply may still be in transit. If the connection were
            # kept, that reply would be taken for the one to the next request.
            if self._connection is not None:
                self.received_bytes = self._connection.frame_received_bytes
            if not completed:
                self.close()
        if not reply.known or reply.era != request.era:
            return None
        return _page(reply, self._clock_s() - requested_boot_s)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _extend_while_receiving(
    limit: asyncio.Timeout, silence_s: float, transfer_s: float
) -> Callable[[], None]:
    """Return a function that extends the limit, called for each part of a reply."""
    loop = asyncio.get_running_loop()
    began_s: float | None = None

    def extend() -> None:
        nonlocal began_s
        now_s = loop.time()
        if began_s is None:
            began_s = now_s
        limit.reschedule(min(began_s + transfer_s, now_s + silence_s))

    return extend


def _page(reply: LogTold, took_s: float) -> LogPage:
    """Convert a reply to a page.

    The reply was made no earlier than the request plus the time for which it was held.
    Counted from its arrival instead, a reply that waited in the socket of a suspended
    machine would look fresh.
    """
    records = tuple(
        LogRecord(r.key, None if r.removed else r.value, r.offset)
        for r in reply.records
    )
    held_s = max(0.0, min(reply.held_s, took_s))
    return LogPage(
        records=records,
        next_offset=reply.next_offset,
        complete_after_s=held_s - max(0.0, reply.age_s),
        recovered_after_s=None if reply.present_s is None else held_s - reply.present_s,
        era=reply.era,
    )
