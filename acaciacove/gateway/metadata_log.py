"""The platform's log, as a gateway needs it."""

from typing import Protocol

from acaciacove.errors import AcaciacoveError
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_stream import LogStream


class AppendConflictError(AcaciacoveError):
    """A conditional append lost: the stream ends elsewhere by now."""

    def __init__(self, end_offset: int) -> None:
        """Keep where the stream ends."""
        super().__init__(f"the stream ends at offset {end_offset}")
        self.end_offset = end_offset


class MetadataLog(Protocol):
    """Keyed streams; calls raise PlatformUnavailableError when they fail.

    ``newest`` returns the newest record of each key. ``read`` returns records
    from ``offset`` on, waiting up to ``wait_s`` for one, and raises
    OffsetExpiredError when they are gone. ``append`` writes one record, with
    ``at`` only if the stream ends there (else AppendConflictError), and returns the
    offset behind it.
    """

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key."""
        ...

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return records from an offset on."""
        ...

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> int:
        """Append one record."""
        ...
