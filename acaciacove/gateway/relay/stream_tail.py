"""The newest records of one stream, retained to be relayed to other gateways."""

import asyncio
from collections import deque

from attrs import define, field

from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream

# The streams that all gateways follow: decisions and endpoints.
RELAYED_STREAMS = (LogStream.OPERATOR, LogStream.ENDPOINTS)

# The records that are retained: the heartbeats of a thousand endpoints during two
# pauses between reads. A gateway that needs older ones has to read the log itself.
MAX_RECORDS = 2_048
# A catalogue with hundreds of routes takes a hundred kilobytes, and a burst of changes
# brings ten of them a second.
MAX_BYTES = 2 * 2**20


@define(eq=False)
class StreamTail:
    """Records from ``first_offset`` up to ``next_offset``, and how fresh they are.

    Times are by the clock that keeps running while the machine is suspended.
    ``complete_boot_s`` is when, according to a read of this gateway, nothing else had
    been written. ``requested_boot_s`` is the last request of another gateway.
    ``recovered_boot_s`` is when the log last recovered from an outage, None if none is
    known. Offsets are those of the log's ``era``.
    """

    first_offset: int = -1
    next_offset: int = -1
    era: int = 0
    complete_boot_s: float = float("-inf")
    requested_boot_s: float = float("-inf")
    recovered_boot_s: float | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)
    _records: deque[LogRecord] = field(factory=deque)
    _size_bytes: int = 0

    def apply(self, reading: LogReading) -> None:
        """Add a page that was read from the log or relayed by another gateway."""
        page = reading.page
        if reading.is_snapshot or self.next_offset < 0:
            self._reset(page.next_offset, page.era)
        else:
            for record in page.records:
                self._append(record)
        self.next_offset = max(self.next_offset, page.next_offset)
        if not page.is_relayed:
            # Freshness that was relayed is not relayed on. Two gateways that have both
            # lost the log would otherwise keep confirming each other and miss what is
            # written.
            self.complete_boot_s = max(self.complete_boot_s, reading.complete_boot_s)
        if page.records or reading.is_snapshot:
            self.changed.set()
            self.changed = asyncio.Event()

    def _reset(self, next_offset: int, era: int) -> None:
        """Start anew after a snapshot, which is not a gapless sequence of records."""
        self._records.clear()
        self._size_bytes = 0
        self.first_offset = self.next_offset = next_offset
        self.era = era

    def _append(self, record: LogRecord) -> None:
        if record.offset < self.next_offset:
            return
        self._records.append(record)
        self._size_bytes += len(record.value or b"")
        self.next_offset = record.offset + 1
        while len(self._records) > MAX_RECORDS or (
            self._size_bytes > MAX_BYTES and len(self._records) > 1
        ):
            dropped = self._records.popleft()
            self._size_bytes -= len(dropped.value or b"")
            self.first_offset = dropped.offset + 1

    def covers(self, offset: int, era: int) -> bool:
        """Return whether every record from ``offset`` of an era on is retained here."""
        return era == self.era and 0 <= self.first_offset <= offset <= self.next_offset

    def since(self, offset: int) -> tuple[LogRecord, ...]:
        """Return the records from ``offset`` on."""
        return tuple(record for record in self._records if record.offset >= offset)
