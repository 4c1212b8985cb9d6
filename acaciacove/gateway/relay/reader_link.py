"""Questions to one other gateway for records of one stream."""

import asyncio
from collections.abc import Callable

from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.relay.relay_intervals import RelayIntervals
from acaciacove.messages.log_ask import LogAsk
from acaciacove.messages.log_told import LogTold
from acaciacove.wire.connection import Connection, connect

CONNECT_TIMEOUT_S = 0.25


class ReaderLink:
    """One kept connection; a question at a time."""

    def __init__(
        self,
        host: str,
        port: int,
        clock_s: Callable[[], float],
        intervals: Callable[[], RelayIntervals],
    ) -> None:
        """Begin unconnected; ``clock_s`` goes on while the machine is suspended."""
        self.address = (host, port)
        self._clock_s = clock_s
        self._intervals = intervals
        self._connection: Connection | None = None

    async def request_records(
        self, stream: str, offset: int, wait_s: float
    ) -> LogPage | None:
        """Return what the other knows, None if it knows nothing of use.

        Raises OSError or TimeoutError when it cannot be reached.
        """
        intervals = self._intervals()
        hold_s = min(wait_s, intervals.request_wait_s)
        answered = False
        requested_boot_s = self._clock_s()
        try:
            if self._connection is None:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self._connection = await connect(*self.address)
            async with asyncio.timeout(hold_s + intervals.reply_margin_s):
                await self._connection.send(LogAsk(stream, offset, hold_s))
                told = await self._connection.receive()
            if not isinstance(told, LogTold):
                raise ConnectionResetError("the other gateway closed the connection")
            answered = True
        finally:
            # After a failure an answer may still be on its way; on a kept connection
            # it would be taken for that to the next question.
            if not answered:
                self.close()
        return _page(told, self._clock_s() - requested_boot_s) if told.known else None

    def close(self) -> None:
        """End the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _page(told: LogTold, took_s: float) -> LogPage:
    """Read an answer.

    It was made no earlier than the question plus its hold. Counted from its arrival,
    an answer that waited in a suspended machine's socket would look fresh.
    """
    records = tuple(
        LogRecord(r.key, None if r.removed else r.value, r.offset) for r in told.records
    )
    held_s = max(0.0, min(told.held_s, took_s))
    return LogPage(
        records=records,
        next_offset=told.next_offset,
        complete_after_s=held_s - max(0.0, told.age_s),
        recovered_after_s=None if told.present_s is None else held_s - told.present_s,
    )
