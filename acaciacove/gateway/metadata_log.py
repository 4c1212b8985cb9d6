"""The interface of the platform's log that a gateway requires."""

from typing import Protocol

from acaciacove.errors import AcaciacoveError
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_position import LogPosition
from acaciacove.gateway.log_stream import LogStream


class AppendConflictError(AcaciacoveError):
    """A conditional append failed because the stream has grown."""

    def __init__(self, end_offset: int) -> None:
        """Keep the offset at which the stream ends now."""
        super().__init__(f"append rejected: the stream now ends at offset {end_offset}")
        self.end_offset = end_offset


class MetadataLog(Protocol):
    """Streams of keyed records; failed calls raise PlatformUnavailableError.

    ``newest`` returns the newest record of each key. ``read`` returns records from
    ``offset`` on and waits up to ``wait_s`` for one. It raises OffsetExpiredError if
    they are not there. ``append`` writes one record and returns the position after it.
    If ``at`` is given, it writes only if the stream ends at that offset, and raises
    AppendConflictError otherwise. A log that has returned from a copy accepts ``at`` as
    an offset of its new history, so callers compare the era of the result.
    """

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key."""
        ...

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on."""
        ...

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> LogPosition:
        """Append one record."""
        ...
