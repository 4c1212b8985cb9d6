"""Follows one stream of the platform's log."""

import asyncio
from collections.abc import Callable
from random import Random

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.state.backoff import Backoff
from acaciacove.state.log_health import LogHealth
from acaciacove.state.pause_detector import PauseDetector

EntriesHandler = Callable[[list[LogEntry]], None]
GapHandler = Callable[[int], None]

READ_LIMIT = 1000
READ_WAIT_S = 10.0
READ_TIMEOUT_S = 3.0
MIN_IDLE_DELAY_S = 0.1
FLEET_READS_PER_S = 100.0
BACKOFF_LIMIT_S = 2.0


class LogTail:
    """Hands a stream's entries over in offset order, each once; ``run`` is its task.

    ``handle_gap`` is told the earliest offset that can still be read when records
    expired before they were read; entries from there on follow. ``caught_up`` is
    set once the end of the stream has been seen.
    """

    def __init__(
        self,
        log: PlatformLog,
        stream: str,
        handle_entries: EntriesHandler,
        handle_gap: GapHandler,
        random: Random,
        health: LogHealth | None = None,
        next_offset: int = 0,
        process_count: Callable[[], int] = lambda: 1,
        pause_detector: PauseDetector | None = None,
    ) -> None:
        """Take what the tail works with; nothing is read before ``run``.

        ``process_count`` tells how many follow the stream; see ``idle_delay_s``.
        ``pause_detector`` is told when the end of the stream was seen.
        """
        self.stream = stream
        self.next_offset = next_offset
        self.caught_up = asyncio.Event()
        self.health = health or LogHealth()
        self._log = log
        self._process_count = process_count
        self._pause_detector = pause_detector
        self._handle_entries = handle_entries
        self._handle_gap = handle_gap
        self._backoff = Backoff(random, max_delay_s=BACKOFF_LIMIT_S)
        self._lock = asyncio.Lock()

    def advance_to(self, next_offset: int) -> None:
        """Skip entries that came by another way, such as from a peer."""
        self.next_offset = max(self.next_offset, next_offset)

    def accept(self, entry: LogEntry) -> None:
        """Take in an entry that this process has appended itself.

        It counts only if it follows what was read; else it will be read in its turn.
        """
        if entry.offset == self.next_offset:
            self.next_offset = entry.offset + 1
            self._handle_entries([entry])

    async def run(self) -> None:
        """Follow the stream until cancelled, through outages."""
        while True:
            try:
                # Waiting for news before the end has been seen once would hold a
                # fresh process back from serving for the length of the wait.
                wait_s = READ_WAIT_S if self.caught_up.is_set() else 0.0
                count = await self.read_once(wait_s)
            except PlatformUnavailableError:
                await asyncio.sleep(self._backoff.next_delay_s())
                continue
            if count == 0:
                # A log that answers an empty read at once, without waiting as
                # it was asked to, would otherwise be polled in a busy loop.
                await asyncio.sleep(idle_delay_s(self._process_count()))

    async def read_once(self, wait_s: float = 0.0) -> int:
        """Read and hand over the next entries; return how many there were.

        Raises PlatformUnavailableError.
        """
        async with self._lock:
            started_s = asyncio.get_running_loop().time()
            entries = await self._read(wait_s)
            unread = [e for e in entries if e.offset >= self.next_offset]
            if unread:
                self.next_offset = unread[-1].offset + 1
                self._handle_entries(unread)
            if not entries:
                self.caught_up.set()
                self._confirm_up_to_date(started_s)
            return len(unread)

    async def catch_up(self, next_offset: int) -> None:
        """Read until everything before ``next_offset`` was handed over.

        Raises PlatformUnavailableError.
        """
        while self.next_offset < next_offset:
            if await self.read_once() == 0 and self.next_offset < next_offset:
                raise PlatformUnavailableError("the log ends before its own offset")

    async def catch_up_to_end(self) -> None:
        """Read until the end of the stream; raises PlatformUnavailableError."""
        while await self.read_once() > 0:
            pass

    def _confirm_up_to_date(self, started_s: float) -> None:
        """Tell the guard of a read that was started after the process woke."""
        now_s = asyncio.get_running_loop().time()
        if (
            self._pause_detector is not None
            and self._pause_detector.started_since_pause(started_s, now_s)
        ):
            self._pause_detector.confirm_up_to_date(now_s)

    async def _read(self, wait_s: float) -> list[LogEntry]:
        """Read once, past a gap if need be."""
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            self.health.reads += 1
            try:
                async with asyncio.timeout(wait_s + READ_TIMEOUT_S):
                    entries = await self._log.read(
                        self.stream, self.next_offset, READ_LIMIT, wait_s
                    )
            except OffsetExpiredError as error:
                if error.earliest_offset <= self.next_offset:
                    raise PlatformUnavailableError("contradictory offsets") from error
                self.next_offset = error.earliest_offset
                self._handle_gap(error.earliest_offset)
                continue
            except (PlatformUnavailableError, TimeoutError) as error:
                self.health.record_failure(loop.time())
                raise PlatformUnavailableError(str(error)) from error
            self.health.record_success(max(0.0, loop.time() - started_s - wait_s))
            self._backoff.reset()
            return entries


def idle_delay_s(process_count: int) -> float:
    """Return the pause after a read that brought nothing.

    A thousand processes that all read the log each second would be most of its
    work. All of them together keep to FLEET_READS_PER_S: whoever reads a record
    first passes it on, so that each of the others need not.
    """
    return max(MIN_IDLE_DELAY_S, process_count / FLEET_READS_PER_S - READ_WAIT_S)
