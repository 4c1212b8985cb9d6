"""The queue before one endpoint: fair by organisation, early to refuse."""

from heapq import heappop, heappush

from attrs import define, field

from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.decisions.refused_item import RefusedItem
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal


@define
class AdmissionQueue:
    """Start-time fair queuing over organisations; state only, no clock, no task.

    ``limit`` is set from outside (ramp) before ``next`` is asked.
    """

    settings: AdmissionSettings = AdmissionSettings()
    limit: int = 1
    running: dict[str, WaitingItem] = field(factory=dict)
    _queue: list[tuple[float, int, WaitingItem]] = field(factory=list)
    _finish_tags: dict[str, float] = field(factory=dict)
    _virtual: float = 0.0
    _sequence: int = 0
    _refused: list[RefusedItem] = field(factory=list)

    def offer(self, item: WaitingItem, now_s: float) -> Refusal | None:
        """Queue an item, or return the refusal at once."""
        if item.deadline_at_s <= now_s:
            return Refusal(Reason.DEADLINE_EXCEEDED, not_run=True)
        if len(self._queue) >= self.settings.max_queue:
            return Refusal(Reason.OVERLOADED, not_run=True, retry_after_s=1.0)
        start = max(self._virtual, self._finish_tags.get(item.organisation, 0.0))
        self._finish_tags[item.organisation] = start + item.cost_tokens / item.weight
        self._sequence += 1
        heappush(self._queue, (start, self._sequence, item))
        return None

    def next(self, now_s: float) -> WaitingItem | None:
        """Take the next item to run, if the limit has room."""
        while self._queue and len(self.running) < self.limit:
            start, _, item = heappop(self._queue)
            self._virtual = max(self._virtual, start)
            if item.deadline_at_s <= now_s:
                refusal = Refusal(Reason.DEADLINE_EXCEEDED, not_run=True)
                self._refused.append(RefusedItem(item, refusal))
                continue
            self.running[item.request_id] = item
            return item
        return None

    def finish(self, item: WaitingItem, now_s: float, ok: bool) -> None:
        """Free the slot of an item that ``next`` gave out."""
        self.running.pop(item.request_id, None)

    def cancel(self, request_id: str) -> bool:
        """Drop a waiting item; False when it is not waiting."""
        kept = [entry for entry in self._queue if entry[2].request_id != request_id]
        found = len(kept) < len(self._queue)
        self._queue = sorted(kept)
        return found

    def take_refused(self) -> tuple[RefusedItem, ...]:
        """Return the items given up since the last call; they never ran."""
        refused = tuple(self._refused)
        self._refused.clear()
        return refused

    @property
    def queued(self) -> int:
        """Count the waiting items."""
        return len(self._queue)
