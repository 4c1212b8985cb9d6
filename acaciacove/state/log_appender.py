"""Appends a payload to a stream of the platform's log so that it is written once."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.state.backoff import Backoff
from acaciacove.state.log_health import LogHealth
from acaciacove.state.log_writer_settings import LogWriterSettings

READ_LIMIT = 1000


@define(eq=False)
class LogAppender:
    """Appends, and searches the stream for what got no reply before it retries.

    The reply to an append can be lost after the record was written. Appending again
    without a check would write the record twice, and use up the append rate during an
    outage. An earlier append can still be in flight during the search and be written
    later; readers ignore the second of two equal items.
    """

    log: PlatformLog
    health: LogHealth
    settings: LogWriterSettings
    random: Random

    async def append(
        self,
        stream: str,
        payload: bytes,
        start: int,
        is_abandoned: Callable[[], bool],
    ) -> int | None:
        """Append a payload that no other equals; return its offset.

        The stream is searched from ``start`` on. Returns None if the payload is not
        there and ``is_abandoned`` says that nobody waits for it any more.
        """
        delay_limit_s = self.settings.backoff_limit_s
        backoff = Backoff(self.random, max_delay_s=delay_limit_s)
        offset = await self._append_once(stream, payload)
        while offset is None:
            await asyncio.sleep(backoff.next_delay_s())
            try:
                offset = await self._find(stream, payload, start)
            except (PlatformUnavailableError, TimeoutError):
                self.health.record_failure(asyncio.get_running_loop().time())
                continue
            if offset is None and is_abandoned():
                return None
            if offset is None:
                offset = await self._append_once(stream, payload)
        return offset

    async def _append_once(self, stream: str, payload: bytes) -> int | None:
        """Send one append; return None if it was not confirmed in time."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.health.appends += 1
        try:
            async with asyncio.timeout(self.settings.append_timeout_s):
                offset = await self.log.append(stream, payload)
        except (PlatformUnavailableError, TimeoutError):
            self.health.record_failure(loop.time())
            return None
        self.health.record_success(loop.time() - started_s)
        return offset

    async def _find(self, stream: str, payload: bytes, start: int) -> int | None:
        """Search a stream up to its end for a payload; return its offset or None."""
        offset = start
        while True:
            try:
                entries = await self._read(stream, offset)
            except OffsetExpiredError as error:
                if error.earliest_offset <= offset:
                    raise PlatformUnavailableError(
                        f"log stream {stream}: offset {offset} expired, "
                        f"but the earliest offset is {error.earliest_offset}"
                    ) from error
                offset = error.earliest_offset
                continue
            for entry in entries:
                if entry.payload == payload:
                    return entry.offset
            if not entries:
                return None
            offset = entries[-1].offset + 1

    async def _read(self, stream: str, offset: int) -> list[LogEntry]:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.health.reads += 1
        async with asyncio.timeout(self.settings.append_timeout_s):
            entries = await self.log.read(stream, offset, READ_LIMIT)
        self.health.record_success(loop.time() - started_s)
        return entries
