"""Reads one stream of the platform's log continuously."""

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
    """Passes on each entry of a stream once, in offset order; ``run`` is its task.

    When records expired before they were read, ``handle_gap`` is called with the
    earliest offset that can still be read. The entries from that offset on follow.
    ``caught_up`` is set once the end of the stream has been reached.
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
        """Initialise the tail; it reads nothing before ``run``.

        ``process_count`` returns how many processes read the stream; it determines
        ``idle_delay_s``. ``pause_detector`` is notified when the end of the stream is
        reached.
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
        """Skip entries that were received by other means, such as from a peer."""
        self.next_offset = max(self.next_offset, next_offset)

    def accept(self, entry: LogEntry) -> None:
        """Pass on an entry that this process has appended itself.

        This happens only if it is the next entry. Otherwise it is read from the log
        later, in offset order.
        """
        if entry.offset == self.next_offset:
            self.next_offset = entry.offset + 1
            self._handle_entries([entry])

    async def run(self) -> None:
        """Read the stream until cancelled; retry during outages of the log."""
        while True:
            try:
                # A long poll before the first end of the stream would delay the
                # start of service by the length of the wait.
                wait_s = READ_WAIT_S if self.caught_up.is_set() else 0.0
                count = await self.read_once(wait_s)
            except PlatformUnavailableError:
                await asyncio.sleep(self._backoff.next_delay_s())
                continue
            if count == 0:
                # Without this delay, a log that returns an empty result at once
                # and ignores the requested wait would be polled in a busy loop.
                await asyncio.sleep(idle_delay_s(self._process_count()))

    async def read_once(self, wait_s: float = 0.0) -> int:
        """Read the next entries and pass them on; return their number.

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
        """Read until all entries before ``next_offset`` have been passed on.

        Raises PlatformUnavailableError.
        """
        while self.next_offset < next_offset:
            if await self.read_once() == 0 and self.next_offset < next_offset:
                raise PlatformUnavailableError(
                    f"log stream {self.stream} ends at offset {self.next_offset}, "
                    f"expected entries before {next_offset}"
                )

    async def catch_up_to_end(self) -> None:
        """Read until the end of the stream; raises PlatformUnavailableError."""
        while await self.read_once() > 0:
            pass

    def _confirm_up_to_date(self, started_s: float) -> None:
        """Confirm the state unless the read was started before the last pause ended."""
        now_s = asyncio.get_running_loop().time()
        if (
            self._pause_detector is not None
            and self._pause_detector.started_since_pause(started_s, now_s)
        ):
            self._pause_detector.confirm_up_to_date(now_s)

    async def _read(self, wait_s: float) -> list[LogEntry]:
        """Read once; skip expired records."""
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
                    raise PlatformUnavailableError(
                        f"log stream {self.stream}: offset {self.next_offset} expired, "
                        f"but the earliest offset is {error.earliest_offset}"
                    ) from error
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
    """Return the delay after a read that returned no entries.

    A thousand processes that each read the log every second would be most of its
    load. Together they stay below FLEET_READS_PER_S. This is sufficient because the
    first process that reads a record passes it on to the others by gossip.
    """
    return max(MIN_IDLE_DELAY_S, process_count / FLEET_READS_PER_S - READ_WAIT_S)
