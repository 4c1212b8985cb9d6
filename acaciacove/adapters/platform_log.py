"""Interface of the platform's append-only log."""

from typing import Protocol

from acaciacove.adapters.log_entry import LogEntry


class PlatformLog(Protocol):
    """Operations of the log; streams have names, and offsets start at 0."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises PlatformUnavailableError when no answer arrived. The record may
        nevertheless be in the log.
        """
        ...

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float = 0.0
    ) -> list[LogEntry]:
        """Read records from an offset on, waiting up to ``wait_s`` for the first.

        Raises OffsetExpiredError when that offset is no longer retained, and
        PlatformUnavailableError when the log did not answer.
        """
        ...
