"""Retains billing records until they are confirmed to be in the log."""

import asyncio
import heapq
from collections import defaultdict, deque
from collections.abc import Callable, Iterable

from acaciacove.errors import LogQueueFullError
from acaciacove.state.append_result import AppendResult
from acaciacove.state.billing_codec import encode_billing_record
from acaciacove.state.billing_record import BILLING_STREAM, BillingRecord
from acaciacove.state.billing_row import pack_row, unpack_holders, unpack_row
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.priority import Priority
from acaciacove.state.unconfirmed_copy import UnconfirmedCopy

DueCopy = tuple[float, int, str]


class BillingOutbox:
    """Billing records of one entry or sidecar that are not yet in the log.

    The entry bills a request with ``bill`` when it has ended. Each sidecar that
    worked for it retains a copy with ``hold``. ``tick`` is called a few times per
    second. Duplicate records of two processes are harmless: the first record for an
    id counts.

    Each record is held as a packed row under its id. Due ids are queued in order,
    and only a bounded number of them is submitted to the log writer at a time. An
    outage of one hour leaves tens of thousands of records, and an item in the
    writer takes the memory of several rows.
    """

    def __init__(self, name: str, writer: LogWriter, settings: BillingSettings) -> None:
        """Start without records."""
        self._name = name
        self._writer = writer
        self._settings = settings
        self._rows: dict[str, bytes] = {}
        self._ready: deque[str] = deque()
        self._submitted: set[str] = set()
        self._copies: dict[str, UnconfirmedCopy] = {}
        self._due: list[DueCopy] = []
        self._unsent_confirmations: dict[str, deque[str]] = defaultdict(deque)
        self._sequence = 0

    @property
    def held(self) -> int:
        """Return the number of records that are not confirmed to be in the log."""
        return len(self._rows)

    @property
    def has_room(self) -> bool:
        """Return whether a new request may be admitted.

        Without this limit, a log outage of several hours would fill the memory of
        every process until the platform killed it, and its records would be lost.
        """
        return len(self._rows) < self._settings.max_held

    def bill(self, record: BillingRecord, holders: Iterable[str], now_s: float) -> None:
        """Append a record as soon as the log accepts it; called by the entry.

        ``holders`` are the sidecars that received the request and may hold a copy. A
        further record for an id only adds its holders, which then also receive the
        confirmation.
        """
        request_id = record.request_id
        sidecars = tuple(dict.fromkeys(holders))
        if self._is_local(request_id):
            row = self._rows[request_id]
            first = unpack_row(request_id, self._name, row)
            all_holders = dict.fromkeys((*(unpack_holders(row) or ()), *sidecars))
            self._rows[request_id] = pack_row(first, all_holders)
        else:
            self._copies.pop(request_id, None)
            self._rows[request_id] = pack_row(record, sidecars)
            self._ready.append(request_id)
        self.tick(now_s)

    def hold(self, record: BillingRecord, entry: str, now_s: float) -> None:
        """Retain a copy until the entry confirms it; called by the sidecar."""
        request_id = record.request_id
        if self._is_local(request_id):
            return
        self._rows[request_id] = pack_row(record, None)
        self._schedule_copy(
            request_id, UnconfirmedCopy(entry, now_s + self._settings.confirm_s)
        )

    def confirm(self, request_ids: Iterable[str]) -> None:
        """Remove copies of records that the entry has appended to the log."""
        for request_id in request_ids:
            if request_id not in self._submitted:
                self._rows.pop(request_id, None)
                self._copies.pop(request_id, None)
        self._compact_ready()

    def take_confirmations(self, sidecar: str) -> tuple[str, ...]:
        """Take the next ids to confirm to a sidecar, in a Run or Billed message."""
        confirmed = self._unsent_confirmations.get(sidecar)
        if not confirmed:
            return ()
        count = min(len(confirmed), self._settings.confirm_batch)
        return tuple(confirmed.popleft() for _ in range(count))

    def tick(self, now_s: float, is_gone: Callable[[str], bool] | None = None) -> None:
        """Submit due records; ``is_gone`` returns whether an entry has ended."""
        if is_gone is not None:
            self._expedite_copies(now_s, is_gone)
        while self._due and self._due[0][0] <= now_s:
            request_id = heapq.heappop(self._due)[2]
            copy = self._copies.get(request_id)
            if copy is not None and copy.due_s <= now_s:
                self._make_ready(request_id)
        self._submit_ready()

    def append_all(self, now_s: float) -> None:
        """Submit all records now, because this process is about to shut down."""
        for request_id in list(self._copies):
            self._make_ready(request_id)
        self.tick(now_s)

    def _is_local(self, request_id: str) -> bool:
        """Return whether this process appends the record.

        That is the case for its own records, and for copies that were not confirmed
        in time and have been submitted.
        """
        row = self._rows.get(request_id)
        if row is None:
            return False
        return request_id in self._submitted or unpack_holders(row) is not None

    def _schedule_copy(self, request_id: str, copy: UnconfirmedCopy) -> None:
        self._copies[request_id] = copy
        self._sequence += 1
        heapq.heappush(self._due, (copy.due_s, self._sequence, request_id))

    def _make_ready(self, request_id: str) -> None:
        del self._copies[request_id]
        self._ready.append(request_id)

    def _compact_ready(self) -> None:
        """Remove confirmed ids from the ready queue when they outnumber the others.

        If the log is unavailable to a sidecar and all confirmations of its entry are
        late, these ids would otherwise accumulate throughout the outage.
        """
        if len(self._ready) <= 2 * len(self._rows) + self._settings.max_submitted:
            return
        self._ready = deque(i for i in dict.fromkeys(self._ready) if self._is_ready(i))

    def _is_ready(self, request_id: str) -> bool:
        """Return whether a record is held, due, and not yet submitted.

        A copy that was confirmed and is then held again may still have its old place
        in the ready queue. Submitted from there, it would precede the record of its
        entry.
        """
        pending = request_id in self._copies or request_id in self._submitted
        return request_id in self._rows and not pending

    def _expedite_copies(self, now_s: float, is_gone: Callable[[str], bool]) -> None:
        """Make copies of ended entries due soon; no other process appends them."""
        soon_s = now_s + self._settings.gone_s
        entries = {copy.entry for copy in self._copies.values()}
        ended = {entry for entry in entries if is_gone(entry)}
        if not ended:
            return
        for request_id, copy in self._copies.items():
            if copy.entry in ended and copy.due_s > soon_s:
                self._schedule_copy(request_id, UnconfirmedCopy(copy.entry, soon_s))

    def _submit_ready(self) -> None:
        """Submit ready records in order, up to ``max_submitted`` at a time."""
        while self._ready and len(self._submitted) < self._settings.max_submitted:
            request_id = self._ready[0]
            if self._is_ready(request_id) and not self._submit(request_id):
                return
            self._ready.popleft()

    def _submit(self, request_id: str) -> bool:
        """Submit a record to the writer; false if the queue of the writer is full."""
        record = unpack_row(request_id, self._name, self._rows[request_id])
        item = encode_billing_record(record)
        try:
            done = self._writer.submit(BILLING_STREAM, item, Priority.BILLING)
        except LogQueueFullError:
            return False
        self._submitted.add(request_id)
        done.add_done_callback(lambda done: self._on_appended(request_id, done))
        return True

    def _on_appended(
        self, request_id: str, done: "asyncio.Future[AppendResult]"
    ) -> None:
        """Remove a record that is in the log, and queue the confirmations.

        The next record is submitted immediately. If that waited for a tick, a process
        that shuts down would find its writer idle and lose the remaining records.
        """
        if done.cancelled():
            return
        self._submitted.discard(request_id)
        if not done.result().appended:
            self._ready.appendleft(request_id)
            return
        row = self._rows.pop(request_id)
        for holder in unpack_holders(row) or ():
            self._unsent_confirmations[holder].append(request_id)
        self._submit_ready()
