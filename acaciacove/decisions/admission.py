"""The queue before one endpoint: fair by organisation, early to refuse."""

from collections.abc import Callable

from attrs import define, field

from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.decisions.organisation_queue import OrganisationQueue
from acaciacove.decisions.refused_item import RefusedItem
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

_MAX_QUEUES = 1024
_MIN_TOKEN_S = 1e-4


@define
class AdmissionQueue:
    """Start-time fair queuing over organisations; state only, no clock, no task.

    Each organisation's next item has a start tag, which grows by the work of each
    item that runs, over the weight; the least start tag runs next. So an
    organisation that sends ten times its share waits behind itself, and one whose
    items are refused or cancelled is not charged for them. ``limit`` is set from
    outside (ramp and adaptive limit) before ``next`` is asked.
    """

    settings: AdmissionSettings = AdmissionSettings()
    limit: int = 1
    running: dict[str, tuple[WaitingItem, float]] = field(factory=dict)
    _queues: dict[str, OrganisationQueue] = field(factory=dict)
    _virtual_time: float = 0.0
    _kind_tags: dict[bool, float] = field(factory=lambda: {False: 0.0, True: 0.0})
    _kind_counts: dict[bool, int] = field(factory=lambda: {False: 0, True: 0})
    _refused: list[RefusedItem] = field(factory=list)
    _token_s: float = field(init=False)
    _samples: int = 0
    _expiry_checked_at_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Start from the settings' guess of the speed."""
        self._token_s = self.settings.token_s

    def offer(self, item: WaitingItem, now_s: float) -> Refusal | None:
        """Queue an item, or return the refusal at once."""
        lane = self._queue_of(item, now_s)
        wait_s = self._expected_wait_s(lane, item.batch, now_s)
        expires_at_s = self._expires_at_s(item, now_s)
        if now_s + self.settings.wait_margin * wait_s > expires_at_s:
            return self._refusal(Reason.DEADLINE_EXCEEDED, wait_s)
        if self.queued >= self.settings.max_queue and not self._evict_from_longest(
            lane, now_s
        ):
            return self._refusal(Reason.OVERLOADED, wait_s)
        if not lane.queued:
            lane.next_start_tag = self._start_tag(lane, now_s)
        self._count_arrival(item.batch)
        lane.append(item, expires_at_s)
        return None

    def next(self, now_s: float) -> WaitingItem | None:
        """Take the next item to run, if the limit has room.

        Items that have waited as long as they may are given up, see ``take_refused``.
        """
        self._refuse_expired(now_s)
        if len(self.running) >= self.limit:
            return None
        found = self._select(now_s)
        if found is None:
            return None
        lane, batch = found
        item = lane.pop(batch)
        self._kind_counts[batch] -= 1
        self._virtual_time = max(self._virtual_time, lane.next_start_tag)
        lane.next_start_tag += item.cost_tokens / item.weight
        self._kind_tags[batch] += item.cost_tokens / self._kind_share(batch)
        lane.running += 1
        self.running[item.request_id] = (item, now_s)
        return item

    def finish(
        self,
        item: WaitingItem,
        now_s: float,
        ok: bool,
        used_tokens: float | None = None,
    ) -> None:
        """Free the slot of an item that ``next`` gave out.

        ``used_tokens`` corrects the expected work, so that asking for little and
        using much gains nothing.
        """
        _, started_at_s = self.running.pop(item.request_id)
        lane = self._queues[item.organisation]
        lane.running -= 1
        used = item.cost_tokens if used_tokens is None else used_tokens
        lane.next_start_tag += (used - item.cost_tokens) / item.weight
        if ok and used > 0:
            self._update_token_s((now_s - started_at_s) / used)

    def cancel(self, request_id: str) -> bool:
        """Drop a waiting item; False when it is not waiting."""
        for lane in self._queues.values():
            item = lane.remove(request_id)
            if item is not None:
                self._kind_counts[item.batch] -= 1
                return True
        return False

    def take_refused(self) -> tuple[RefusedItem, ...]:
        """Return the items given up since the last call; they never ran."""
        refused = tuple(self._refused)
        self._refused.clear()
        return refused

    @property
    def queued(self) -> int:
        """Count the waiting items."""
        return self._kind_counts[False] + self._kind_counts[True]

    def _update_token_s(self, token_s: float) -> None:
        """Smooth the time per token; the first samples are averaged."""
        self._samples += 1
        weight = max(self.settings.smoothing, 1.0 / self._samples)
        self._token_s += weight * (token_s - self._token_s)

    def _service_s(self, item: WaitingItem) -> float:
        """Estimate how long an item runs; 0 while nothing is known.

        A guess would refuse work that an idle endpoint could well have done.
        """
        known = self._samples >= self.settings.min_samples
        return item.cost_tokens * self._token_s if known else 0.0

    def _queue_of(self, item: WaitingItem, now_s: float) -> OrganisationQueue:
        """Return the organisation's lane, forgetting idle ones beyond a bound."""
        lane = self._queues.get(item.organisation)
        if lane is None:
            if len(self._queues) >= _MAX_QUEUES:
                self._remove_idle(now_s)
            lane = self._queues[item.organisation] = OrganisationQueue(
                item.weight, now_s
            )
        lane.weight = item.weight
        lane.last_seen_s = now_s
        return lane

    def _remove_idle(self, now_s: float) -> None:
        oldest = now_s - self.settings.active_s
        for name, lane in list(self._queues.items()):
            if not lane.queued and not lane.running and lane.last_seen_s < oldest:
                del self._queues[name]

    def _select(self, now_s: float) -> tuple[OrganisationQueue, bool] | None:
        """Pick the lane and the kind that run next."""
        free = self.limit - len(self.running)
        scarce = free <= int(self.settings.reserved_share * self.limit)
        fits = self._reserve_filter(now_s) if scarce else _accept_any
        picked: dict[bool, OrganisationQueue] = {}
        for batch in (False, True):
            if not self._kind_counts[batch]:
                continue
            if batch and scarce and not self._kind_counts[False]:
                continue
            queues = [n for n in self._queues.values() if n.waiting(batch) and fits(n)]
            if queues:
                picked[batch] = min(queues, key=lambda n: n.next_start_tag)
        if not picked:
            return None
        batch = min(picked, key=lambda kind: self._kind_tags[kind])
        return picked[batch], batch

    def _reserve_filter(self, now_s: float) -> Callable[[OrganisationQueue], bool]:
        """Admit only lanes below their share to the last free slots.

        Without this, a flood holds every slot whenever a slot is free, and each
        other organisation's request waits for a whole answer to end.
        """

        def fits(lane: OrganisationQueue) -> bool:
            return self._is_within_share(lane, now_s)

        return fits

    def _start_tag(self, lane: OrganisationQueue, now_s: float) -> float:
        """Start where the lane's work before ends, at most a credit behind the present.

        An organisation that has used less than its share may burst. Without credit, a
        long answer or two requests at once at one endpoint put its next request
        behind a whole flood, though over a minute it uses a part of its share.
        """
        return max(self._virtual_time - self._credit(now_s), lane.next_start_tag)

    def _credit(self, now_s: float) -> float:
        """Return the tokens by weight that are served in ``credit_s``."""
        tokens_per_s = self.limit / max(_MIN_TOKEN_S, self._token_s)
        return self.settings.credit_s * tokens_per_s / self._active_weight(now_s)

    def _is_within_share(self, lane: OrganisationQueue, now_s: float) -> bool:
        """Tell whether a lane is in credit, or holds about its share of the slots."""
        if lane.next_start_tag < self._virtual_time:
            return True
        share = self.settings.slack * self.limit / self._active_weight(now_s)
        return (lane.running + 1) / lane.weight <= share

    def _active_weight(self, now_s: float) -> float:
        """Sum the weights of organisations with work here, or lately."""
        oldest = now_s - self.settings.active_s
        return sum(
            lane.weight
            for lane in self._queues.values()
            if lane.queued or lane.running or lane.last_seen_s >= oldest
        )

    def _count_arrival(self, batch: bool) -> None:
        """Start a kind that was idle level with the other: idling earns no credit."""
        if not self._kind_counts[batch]:
            level = max(self._kind_tags[batch], self._kind_tags[not batch])
            self._kind_tags[batch] = level
        self._kind_counts[batch] += 1

    def _kind_share(self, batch: bool) -> float:
        share = self.settings.batch_share
        return share if batch else 1.0 - share

    def _expected_wait_s(
        self, lane: OrganisationQueue, batch: bool, now_s: float
    ) -> float:
        """Estimate the wait: tokens of its kind that are served before a new item."""
        is_idle = self.queued == 0 and len(self.running) < self.limit
        if is_idle or self._samples < self.settings.min_samples:
            return 0.0
        own = sum(lane.queued_tokens.values()) / lane.weight
        start = max(0.0, self._start_tag(lane, now_s) + own - self._virtual_time)
        ahead = lane.queued_tokens[batch] + sum(
            min(other.queued_tokens[batch], start * other.weight)
            for other in self._queues.values()
            if other is not lane and other.queued
        )
        share = self._kind_share(batch) if self._kind_counts[not batch] else 1.0
        return ahead * self._token_s / (max(1, self.limit) * share)

    def _expires_at_s(self, item: WaitingItem, now_s: float) -> float:
        """Return when waiting ends: a part of the time left, so a retry still helps."""
        time_left_s = item.deadline_at_s - now_s
        longest_s = self.settings.max_wait_share * time_left_s
        return now_s + min(longest_s, time_left_s - self._service_s(item))

    def _refuse_expired(self, now_s: float) -> None:
        """Refuse the items that have waited as long as they may."""
        if now_s - self._expiry_checked_at_s < self.settings.look_every_s:
            return
        self._expiry_checked_at_s = now_s
        for lane in self._queues.values():
            for item in lane.expired(now_s):
                lane.remove(item.request_id)
                self._refuse(lane, item, Reason.DEADLINE_EXCEEDED, now_s)

    def _refusal(self, reason: Reason, wait_s: float) -> Refusal:
        retry_after_s = max(self.settings.min_retry_after_s, wait_s)
        return Refusal(reason, not_run=True, retry_after_s=retry_after_s)

    def _evict_from_longest(self, arriving: OrganisationQueue, now_s: float) -> bool:
        """Make room at the cost of the longest lane by weight, if not the own one."""
        longest = max(self._queues.values(), key=lambda n: n.queued / n.weight)
        if longest.queued / longest.weight <= (arriving.queued + 1) / arriving.weight:
            return False
        item = longest.pop(bool(longest.batch), newest=True)
        self._refuse(longest, item, Reason.OVERLOADED, now_s)
        return True

    def _refuse(
        self, lane: OrganisationQueue, item: WaitingItem, reason: Reason, now_s: float
    ) -> None:
        """Keep the refusal of an item that left its lane unserved."""
        self._kind_counts[item.batch] -= 1
        wait_s = self._expected_wait_s(lane, item.batch, now_s)
        self._refused.append(RefusedItem(item, self._refusal(reason, wait_s)))


def _accept_any(_: OrganisationQueue) -> bool:
    return True
