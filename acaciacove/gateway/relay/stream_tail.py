"""The newest records of one stream, kept to tell other gateways."""

import asyncio
from collections import deque

from attrs import define, field

from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream

# What gateways tell each other: decisions and endpoints, which all of them follow.
RELAYED_STREAMS = (LogStream.OPERATOR, LogStream.ENDPOINTS)

# Records that are kept: the heartbeats of a thousand endpoints over two rests between
# reads. A gateway that asks for older ones has to read the log itself.
MAX_RECORDS = 2_048
# A catalogue with hundreds of routes has a hundred kilobytes, and a storm of them
# comes at ten a second.
MAX_BYTES = 2 * 2**20


@define(eq=False)
class StreamTail:
    """Records from ``first_offset`` up to ``next_offset``, and how fresh they are.

    Times are of the clock that goes on while the machine is suspended:
    ``complete_boot_s`` is when, by an own look, nothing else had been written,
    ``requested_boot_s`` when another gateway last asked, and ``recovered_boot_s`` when
    the log last came back from an absence, if one is known.
    """

    first_offset: int = -1
    next_offset: int = -1
    complete_boot_s: float = float("-inf")
    requested_boot_s: float = float("-inf")
    recovered_boot_s: float | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)
    _records: deque[LogRecord] = field(factory=deque)
    _size_bytes: int = 0

    def apply(self, reading: LogReading) -> None:
        """Take a page that was read here or told by another gateway."""
        page = reading.page
        if reading.is_snapshot or self.next_offset < 0:
            self._reset(page.next_offset)
        else:
            for record in page.records:
                self._append(record)
        self.next_offset = max(self.next_offset, page.next_offset)
        if not page.is_relayed:
            # Freshness that was told is not told on. Two gateways that have both lost
            # the log would otherwise assure each other, and miss what is written.
            self.complete_boot_s = max(self.complete_boot_s, reading.complete_boot_s)
        if page.records:
            self.changed.set()
            self.changed = asyncio.Event()

    def _reset(self, next_offset: int) -> None:
        """Begin anew: the newest of each key are no gapless run of records."""
        self._records.clear()
        self._size_bytes = 0
        self.first_offset = self.next_offset = next_offset

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

    def covers(self, offset: int) -> bool:
        """Tell whether everything from ``offset`` on is kept here."""
        return 0 <= self.first_offset <= offset <= self.next_offset

    def since(self, offset: int) -> tuple[LogRecord, ...]:
        """Return the records from ``offset`` on."""
        return tuple(record for record in self._records if record.offset >= offset)
