"""State of a stand-in for a log of keyed streams."""

import asyncio
from collections import defaultdict

from attrs import define, field, frozen


@frozen
class KeyedLogCopy:
    """A copy of the records, from which a log can be restored."""

    records: dict[str, list[tuple[str, bytes]]]
    first: dict[str, int]
    newest: dict[str, dict[str, tuple[int, bytes]]]


@define(eq=False)
class KeyedLogState:
    """Records of each stream from ``first`` on, and the newest of each key.

    Faults: ``down`` is how calls fail ("busy" answers 503, "reset" closes the
    connection, "silent" never answers). If ``failing_callers`` is not empty, only
    those callers are affected by ``down``. ``rejected_callers`` always get 503.
    Callers are identified by the name in their User-Agent field. ``lost_replies`` is
    the number of coming appends that take effect without an answer.
    ``last_readers`` maps a stream to the last caller that read it. If
    ``link_bytes_per_s`` is set, bodies of responses are sent at this rate.
    ``partial_reads`` counts the reads whose response did not hold all records.
    ``era`` counts the restorations from a copy; it is sent with every response unless
    ``states_era`` is false.
    """

    records: dict[str, list[tuple[str, bytes]]] = field(
        factory=lambda: defaultdict(list)
    )
    first: dict[str, int] = field(factory=lambda: defaultdict(int))
    newest: dict[str, dict[str, tuple[int, bytes]]] = field(
        factory=lambda: defaultdict(dict)
    )
    down: str | None = None
    failing_callers: frozenset[str] = frozenset()
    rejected_callers: set[str] = field(factory=set)
    last_readers: dict[str, str] = field(factory=dict)
    lost_replies: int = 0
    link_bytes_per_s: float | None = None
    partial_reads: int = 0
    reads: int = 0
    writes: int = 0
    era: int = 1
    states_era: bool = True
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def end(self, stream: str) -> int:
        """Return the offset that the next record gets."""
        return self.first[stream] + len(self.records[stream])

    def append(self, stream: str, key: str, value: bytes) -> int:
        """Append a record and return the new end; an empty value removes the key."""
        offset = self.end(stream)
        self.records[stream].append((key, value))
        if value:
            self.newest[stream][key] = (offset, value)
        else:
            self.newest[stream].pop(key, None)
        self._changed.set()
        self._changed = asyncio.Event()
        return offset + 1

    def truncate_history(self, stream: str) -> None:
        """Drop all records, but retain the newest of each key."""
        self.first[stream] = self.end(stream)
        self.records[stream].clear()

    def copy(self) -> KeyedLogCopy:
        """Return a copy of all records."""
        return KeyedLogCopy(
            {stream: list(records) for stream, records in self.records.items()},
            dict(self.first),
            {stream: dict(newest) for stream, newest in self.newest.items()},
        )

    def restore(self, copy: KeyedLogCopy) -> None:
        """Return to a copy: what was written since is lost, and a new era begins."""
        self.records = defaultdict(list, {s: list(r) for s, r in copy.records.items()})
        self.first = defaultdict(int, copy.first)
        self.newest = defaultdict(dict, {s: dict(n) for s, n in copy.newest.items()})
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for(self, stream: str, offset: int, wait_s: float) -> None:
        """Wait for a record at ``offset``, for at most ``wait_s``."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while self.end(stream) <= offset and loop.time() < deadline_s:
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline_s):
                    await changed.wait()
            except TimeoutError:
                return
