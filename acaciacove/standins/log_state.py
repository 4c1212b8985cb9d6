"""State of the log stand-in: streams in memory."""

import asyncio

from attrs import define, field

from acaciacove.standins.log_faults import LogFaults


@define
class LogStream:
    """Records of one stream; the oldest retained has offset ``first_offset``."""

    records: list[bytes] = field(factory=list)
    first_offset: int = 0
    grown: asyncio.Event = field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """The offset that the next record gets."""
        return self.first_offset + len(self.records)

    def append(self, payload: bytes, keep_records: int) -> int:
        """Append a record, expire old ones, wake readers and return the offset."""
        offset = self.next_offset
        self.records.append(payload)
        self.expire(keep_records)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return offset

    def expire(self, keep_records: int) -> None:
        """Drop all but the newest ``keep_records`` records; 0 retains all."""
        surplus = len(self.records) - keep_records
        if keep_records and surplus > 0:
            del self.records[:surplus]
            self.first_offset += surplus

    def read(self, from_offset: int, limit: int) -> list[tuple[int, bytes]]:
        """Return at most ``limit`` records from an offset on, with their offsets."""
        start = from_offset - self.first_offset
        found = self.records[start : start + limit]
        return list(enumerate(found, from_offset))


@define
class LogState:
    """All streams, the current faults and counters of requests."""

    faults: LogFaults = field(factory=LogFaults)
    streams: dict[str, LogStream] = field(factory=dict)
    appends: int = 0
    reads: int = 0
    refused: int = 0
    allowance: float = 0.0
    allowance_at_s: float = 0.0

    def stream(self, name: str) -> LogStream:
        """Return a stream; it is created on first use."""
        return self.streams.setdefault(name, LogStream())

    def admits_append(self, now_s: float) -> bool:
        """Return whether the rate limit admits one more append, and count it."""
        rate = self.faults.appends_per_s
        if not rate:
            return True
        grown = self.allowance + (now_s - self.allowance_at_s) * rate
        self.allowance = min(rate, grown)
        self.allowance_at_s = now_s
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True
