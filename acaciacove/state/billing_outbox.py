"""Holds billing records until they are known to be in the log."""

import asyncio
import heapq
from collections import defaultdict, deque
from collections.abc import Callable, Iterable

from attrs import evolve

from acaciacove.errors import LogQueueFullError
from acaciacove.state.append_result import AppendResult
from acaciacove.state.billing_codec import encode_billing_record
from acaciacove.state.billing_record import BILLING_STREAM, BillingRecord
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.priority import Priority
from acaciacove.state.unbilled import Unbilled

Due = tuple[float, int, str]


class BillingOutbox:
    """The unbilled requests of one entry or sidecar.

    The entry bills a request with ``bill`` once it has ended; each sidecar that
    worked for it keeps a copy with ``hold``. ``tick`` is called a few times a
    second. Two processes that bill the same request do no harm: the first record
    for an id counts.
    """

    def __init__(self, name: str, writer: LogWriter, settings: BillingSettings) -> None:
        """Start with nothing held."""
        self._name = name
        self._writer = writer
        self._settings = settings
        self._held: dict[str, Unbilled] = {}
        self._due: list[Due] = []
        self._confirmed: dict[str, deque[str]] = defaultdict(deque)
        self._sequence = 0

    @property
    def held(self) -> int:
        """Return how many records are not known to be in the log."""
        return len(self._held)

    @property
    def has_room(self) -> bool:
        """Tell whether a new request may be taken on.

        Without the bound, a log that is down for hours would fill the memory of
        every process until the platform killed it, and its records were lost.
        """
        return len(self._held) < self._settings.max_held

    def bill(self, record: BillingRecord, holders: Iterable[str], now_s: float) -> None:
        """Append a record as soon as the log takes it; the entry's part.

        ``holders`` are the sidecars that were asked, and may hold a copy.
        """
        own = evolve(record, writer=self._name)
        unbilled = Unbilled(own, now_s, holders=tuple(dict.fromkeys(holders)))
        self._hold(unbilled)
        self.tick(now_s)

    def hold(self, record: BillingRecord, entry: str, now_s: float) -> None:
        """Keep a copy until the entry confirms it; the sidecar's part."""
        known = self._held.get(record.request_id)
        if known is not None and known.submitted:
            return
        own = evolve(record, writer=self._name)
        self._hold(Unbilled(own, now_s + self._settings.confirm_s, entry))

    def confirm(self, request_ids: Iterable[str]) -> None:
        """Drop copies of records that the entry has in the log."""
        for request_id in request_ids:
            unbilled = self._held.get(request_id)
            if unbilled is not None and not unbilled.submitted:
                del self._held[request_id]

    def confirmations(self, sidecar: str) -> tuple[str, ...]:
        """Take request ids to tell a sidecar, on a data message or a Billed."""
        waiting = self._confirmed.get(sidecar)
        if not waiting:
            return ()
        count = min(len(waiting), self._settings.confirm_batch)
        return tuple(waiting.popleft() for _ in range(count))

    def tick(self, now_s: float, is_gone: Callable[[str], bool] | None = None) -> None:
        """Submit what is due; ``is_gone`` tells whether an entry has gone."""
        if is_gone is not None:
            self._hasten(now_s, is_gone)
        while self._due and self._due[0][0] <= now_s:
            unbilled = self._held.get(self._due[0][2])
            due = unbilled is not None and self._is_due(unbilled, now_s)
            if due and unbilled is not None and not self._submit(unbilled):
                return
            heapq.heappop(self._due)

    def append_all(self, now_s: float) -> None:
        """Make everything due: this process is about to end."""
        for unbilled in self._held.values():
            self._schedule(unbilled, now_s)
        self.tick(now_s)

    def _hold(self, unbilled: Unbilled) -> None:
        self._held[unbilled.record.request_id] = unbilled
        self._schedule(unbilled, unbilled.due_s)

    def _schedule(self, unbilled: Unbilled, due_s: float) -> None:
        unbilled.due_s = due_s
        self._sequence += 1
        due = (due_s, self._sequence, unbilled.record.request_id)
        heapq.heappush(self._due, due)

    def _is_due(self, unbilled: Unbilled, now_s: float) -> bool:
        return not unbilled.submitted and unbilled.due_s <= now_s

    def _hasten(self, now_s: float, is_gone: Callable[[str], bool]) -> None:
        """Bring copies forward whose entry has gone, since nobody else bills them."""
        soon_s = now_s + self._settings.gone_s
        entries = {u.entry for u in self._held.values() if u.entry}
        gone = {entry for entry in entries if is_gone(entry)}
        if not gone:
            return
        for unbilled in self._held.values():
            if unbilled.entry in gone and unbilled.due_s > soon_s:
                self._schedule(unbilled, soon_s)

    def _submit(self, unbilled: Unbilled) -> bool:
        """Hand a record to the writer; false while the writer has no room."""
        item = encode_billing_record(unbilled.record)
        try:
            done = self._writer.submit(BILLING_STREAM, item, Priority.BILLING)
        except LogQueueFullError:
            return False
        unbilled.submitted = True
        done.add_done_callback(lambda done: self._landed(unbilled, done))
        return True

    def _landed(self, unbilled: Unbilled, done: "asyncio.Future[AppendResult]") -> None:
        """Forget a record that is in the log, and have its holders told."""
        if done.cancelled():
            return
        request_id = unbilled.record.request_id
        if not done.result().appended:
            unbilled.submitted = False
            self._schedule(unbilled, unbilled.due_s)
            return
        self._held.pop(request_id, None)
        for holder in unbilled.holders:
            self._confirmed[holder].append(request_id)
