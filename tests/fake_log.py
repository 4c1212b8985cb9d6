"""An in-memory platform log whose replies can be lost and whose reads can fail."""

from attrs import define, field

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.state.record import RELEASE_STREAM
from acaciacove.state.record_codec import encode_record


@define(slots=False)
class FakeLog:
    """A log with injected faults.

    ``lost_replies`` appends are written without a reply, ``lost_appends`` are neither
    written nor answered, and ``failing_reads`` reads fail.
    """

    payloads: list[bytes] = field(factory=list)
    earliest: int = 0
    lost_replies: int = 0
    lost_appends: int = 0
    failing_reads: int = 0
    appends: int = 0
    on_append: object = None

    async def append(self, stream, payload):
        assert stream == RELEASE_STREAM
        self.appends += 1
        if self.on_append is not None:
            racing, self.on_append = self.on_append, None
            self.put(racing)
        if self.lost_appends:
            self.lost_appends -= 1
            raise PlatformUnavailableError("no reply")
        self.payloads.append(payload)
        if self.lost_replies:
            self.lost_replies -= 1
            raise PlatformUnavailableError("no reply")
        return len(self.payloads) - 1

    async def read(self, stream, from_offset, limit, wait_s=0.0):
        if self.failing_reads:
            self.failing_reads -= 1
            raise PlatformUnavailableError("log is down")
        if from_offset < self.earliest:
            raise OffsetExpiredError(self.earliest)
        batch = self.payloads[from_offset : from_offset + limit]
        return [LogEntry(from_offset + i, p) for i, p in enumerate(batch)]

    def put(self, record):
        """Append a record as another writer does."""
        self.payloads.append(encode_record(record))
