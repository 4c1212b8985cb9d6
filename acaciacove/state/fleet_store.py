"""The fleet state of one process, with recent records for peers that lack them."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.errors import MalformedMessageError
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.messages.pull import Pull
from acaciacove.messages.record import Record as PeerRecord
from acaciacove.messages.records import Records
from acaciacove.state.fold_result import FoldResult
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.record import Record
from acaciacove.state.record_codec import decode_record, encode_record
from acaciacove.state.reducer import can_start_from, fold
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.verdict import Verdict
from acaciacove.state.zone_decision import ZoneDecision

MAX_RECENT_RECORDS = 1024
MAX_FOLD_RESULTS = 256
MAX_BUFFERED_RECORDS = 4096
MAX_REPLY_BYTES = 65_536

StateListener = Callable[[FleetState], None]


class FleetStore:
    """Folds records from the log and from peers; the revision never decreases.

    ``snapshot_revision`` is the highest revision that a snapshot in the log is known
    to cover. ``contradictions`` counts snapshots that are malformed or do not agree
    with the records.
    """

    def __init__(self) -> None:
        """Start with an empty fleet state."""
        self.state = FleetState()
        self.snapshot_revision = -1
        self.snapshot_offset = -1
        self.contradictions = 0
        self._recent_records: deque[PeerRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self._buffered: dict[int, bytes] = {}
        self._fold_results: OrderedDict[str, FoldResult] = OrderedDict()
        self._listeners: list[StateListener] = []

    @property
    def revision(self) -> int:
        """Return the offset of the last record that was folded."""
        return self.state.revision

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to be folded."""
        return self.state.revision + 1

    @property
    def has_gap(self) -> bool:
        """Return whether records are buffered because earlier ones are missing."""
        return bool(self._buffered)

    def subscribe(self) -> "asyncio.Queue[FleetState]":
        """Return a queue that receives each new state."""
        queue: asyncio.Queue[FleetState] = asyncio.Queue()
        self._listeners.append(queue.put_nowait)
        return queue

    def add_listener(self, listener: StateListener) -> None:
        """Call ``listener`` with each new state, in the task that folds the records."""
        self._listeners.append(listener)

    def fold_result_of(self, record_id: str) -> FoldResult | None:
        """Return the result of a release note or decision that was folded recently."""
        return self._fold_results.get(record_id)

    def offer(self, entries: list[LogEntry]) -> None:
        """Fold entries of the release stream; LogTail calls this."""
        before = self.state
        for entry in entries:
            self._apply(entry.offset, entry.payload)
        self._notify_listeners(before)

    def note_gap(self, earliest_offset: int) -> None:
        """Do nothing about the expiry of records before ``earliest_offset``.

        Later records are buffered until a snapshot, in the log or from a peer, covers
        the missing ones.
        """

    def apply_records(self, message: Records) -> None:
        """Fold the reply of a peer: a snapshot of its state, then records."""
        before = self.state
        if message.snapshot:
            self._install_peer_snapshot(message)
        for record in message.records:
            self._apply(record.offset, record.payload)
        self._notify_listeners(before)

    def pull_if_behind(self, revision: int) -> Pull | None:
        """Return the request for missing records if a peer at ``revision`` is ahead."""
        if revision <= self.revision:
            return None
        return Pull(self.next_offset)

    def records_for(self, pull: Pull) -> Records:
        """Return the records from an offset on, which a peer lacks.

        If some of them are no longer retained, the reply is a snapshot of the complete
        state instead.
        """
        missing = [r for r in self._recent_records if r.offset >= pull.from_offset]
        complete = pull.from_offset > self.revision or (
            bool(missing) and missing[0].offset == pull.from_offset
        )
        if not complete:
            return self._snapshot_for_peer()
        records: list[PeerRecord] = []
        size = 0
        for record in missing[: pull.limit]:
            size += len(record.payload)
            if records and size > MAX_REPLY_BYTES:
                break
            records.append(record)
        return Records(self.revision, records=tuple(records))

    def _snapshot_for_peer(self) -> Records:
        payload = encode_record(Snapshot(self.state))
        return Records(self.revision, payload, self.revision)

    def _install_peer_snapshot(self, message: Records) -> None:
        try:
            record = decode_record(message.snapshot)
        except MalformedMessageError:
            self.contradictions += 1
            return
        if not isinstance(record, Snapshot):
            self.contradictions += 1
            return
        if record.state.revision > self.revision:
            self._install_state(record.state)

    def _apply(self, offset: int, payload: bytes) -> None:
        """Fold a record in offset order; buffer it if earlier ones are missing.

        A reader that skipped a missing record would have a state that no other reader
        has at that revision, and could miss the withdrawal of a version.
        """
        if offset <= self.revision:
            return
        if offset > self.next_offset:
            self._buffer(offset, payload)
            return
        self._fold(offset, payload)
        self._fold_buffered()

    def _buffer(self, offset: int, payload: bytes) -> None:
        """Buffer a record, and start from it if it is a usable snapshot."""
        if len(self._buffered) >= MAX_BUFFERED_RECORDS:
            self._buffered.pop(min(self._buffered))
        self._buffered[offset] = payload
        if b'"snapshot"' not in payload[:64]:
            return
        record = _decode_or_none(payload)
        if not isinstance(record, Snapshot):
            return
        if not can_start_from(self.state, offset, record):
            return
        if all(o in self._buffered for o in range(record.state.revision + 1, offset)):
            self._install_state(record.state)

    def _install_state(self, state: FleetState) -> None:
        """Replace the state by a complete newer one."""
        self.state = state
        self._recent_records.clear()
        for offset in [o for o in self._buffered if o <= state.revision]:
            del self._buffered[offset]
        self._fold_buffered()

    def _fold_buffered(self) -> None:
        while self.next_offset in self._buffered:
            self._fold(self.next_offset, self._buffered.pop(self.next_offset))

    def _fold(self, offset: int, payload: bytes) -> None:
        record = _decode_or_none(payload)
        result = fold(self.state, offset, record)
        self.state = result.state
        self._recent_records.append(PeerRecord(offset, payload))
        if result.verdict is Verdict.CONTRADICTION:
            self.contradictions += 1
        elif isinstance(record, Snapshot):
            self._record_snapshot(offset, record)
        self._store_result(record, result)

    def _record_snapshot(self, offset: int, snapshot: Snapshot) -> None:
        covered = snapshot.state.revision
        if covered > self.snapshot_revision:
            self.snapshot_revision = covered
            self.snapshot_offset = offset

    def _store_result(self, record: Record | None, result: FoldResult) -> None:
        """Store the first result of an id; ignore later copies of the record."""
        match record:
            case ReleaseNote(note_id=record_id):
                pass
            case ZoneDecision(decision_id=record_id):
                pass
            case InstanceDecision(decision_id=record_id):
                pass
            case _:
                return
        if record_id in self._fold_results:
            return
        self._fold_results[record_id] = result
        if len(self._fold_results) > MAX_FOLD_RESULTS:
            self._fold_results.popitem(last=False)

    def _notify_listeners(self, before: FleetState) -> None:
        if self.state.revision == before.revision:
            return
        for listener in self._listeners:
            listener(self.state)


def _decode_or_none(payload: bytes) -> Record | None:
    """Decode a record; return None if it is malformed."""
    try:
        return decode_record(payload)
    except MalformedMessageError:
        return None
