"""The records of the release stream that the log still retains."""

import asyncio

from attrs import define, field

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.cli.history_entry import HistoryEntry
from acaciacove.cli.incomplete_log_error import IncompleteLogError
from acaciacove.cli.record_summary import record_id
from acaciacove.context import Environment
from acaciacove.errors import (
    MalformedMessageError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.state.record import RELEASE_STREAM, Record
from acaciacove.state.record_codec import decode_record
from acaciacove.state.reducer import can_start_from, fold
from acaciacove.state.snapshot import Snapshot

READ_LIMIT = 500
READ_TIMEOUT_S = 60.0


@define
class History:
    """The records that were read, and the state folded from them.

    If records have expired, nothing is folded until a snapshot covers the gap.
    Folding past the gap would give a state that no process of the fleet has.
    """

    state: FleetState = field(factory=FleetState)
    entries: list[HistoryEntry] = field(factory=list)
    next_offset: int = 0
    first_offset: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether ``state`` covers all expired records."""
        return self.state.revision + 1 >= self.first_offset

    def find(self, wanted_id: str) -> HistoryEntry | None:
        """Return the entry of the first record with this operator-given id."""
        for entry in self.entries:
            if record_id(entry.record) == wanted_id:
                return entry
        return None

    def skip_expired(self, earliest_offset: int) -> None:
        """Continue at an offset, as all records before it have expired."""
        self.next_offset = earliest_offset
        self.first_offset = earliest_offset

    def apply(self, entry: LogEntry) -> None:
        """Fold one record, or retain it until a snapshot allows folding it."""
        record = _read_record(entry.payload)
        self.next_offset = entry.offset + 1
        if self.is_complete:
            self.entries.append(self._fold(entry.offset, record))
            return
        self.entries.append(HistoryEntry(entry.offset, record, None))
        if isinstance(record, Snapshot) and self._covers_gap(entry.offset, record):
            self._start_from(record.state)

    def _covers_gap(self, offset: int, snapshot: Snapshot) -> bool:
        reaches = snapshot.state.revision + 1 >= self.first_offset
        return reaches and can_start_from(self.state, offset, snapshot)

    def _start_from(self, state: FleetState) -> None:
        """Start from a snapshot's state and fold the records after it."""
        self.state = state
        for index, entry in enumerate(self.entries):
            if entry.offset > state.revision:
                self.entries[index] = self._fold(entry.offset, entry.record)

    def _fold(self, offset: int, record: Record | None) -> HistoryEntry:
        folded = fold(self.state, offset, record)
        self.state = folded.state
        return HistoryEntry(offset, record, folded.verdict, folded.detail)


async def catch_up(history: History, log: PlatformLog) -> None:
    """Read to the end of the stream; raises PlatformUnavailableError."""
    while True:
        try:
            batch = await log.read(RELEASE_STREAM, history.next_offset, READ_LIMIT)
        except OffsetExpiredError as expired:
            # If the log reports an earliest offset that is not ahead, reading
            # there would expire again and loop forever. Report the log as
            # unavailable instead.
            if expired.earliest_offset <= history.next_offset:
                raise PlatformUnavailableError(
                    f"log offset {history.next_offset} has expired, but the log gives "
                    f"{expired.earliest_offset} as its earliest offset"
                ) from expired
            history.skip_expired(expired.earliest_offset)
            continue
        if not batch:
            return
        for entry in batch:
            history.apply(entry)


async def read_history(log: PlatformLog) -> History:
    """Read and fold the complete release stream.

    Raises PlatformUnavailableError, and IncompleteLogError if the state in force
    can no longer be derived from the log.
    """
    history = History()
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            await catch_up(history, log)
    except TimeoutError as error:
        message = (
            f"stream {RELEASE_STREAM} was not read to its end within "
            f"{READ_TIMEOUT_S:g} s; next offset {history.next_offset}"
        )
        raise PlatformUnavailableError(message) from error
    if not history.is_complete:
        raise IncompleteLogError(history.first_offset)
    return history


def fetch_history(url: str, env: Environment) -> History:
    """Open the log, read the complete release stream, and close the log."""

    async def fetch() -> History:
        async with env.open_log(url) as log:
            return await read_history(log)

    return asyncio.run(fetch())


def _read_record(payload: bytes) -> Record | None:
    """Decode a record; None if it is unreadable, such as one of a newer version."""
    try:
        return decode_record(payload)
    except MalformedMessageError:
        return None
