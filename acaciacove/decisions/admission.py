"""Admission queue of one endpoint: fair queuing by organisation, early refusal."""

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
    """Start-time fair queuing over organisations, without a clock or a task.

    Each organisation's next item has a start tag. The tag grows by each item's work
    divided by the organisation's weight, and the lowest tag runs next. An organisation
    that sends ten times its share therefore delays only itself. Refused and cancelled
    items are not charged. The caller sets ``limit`` (from the ramp and the adaptive
    limit) before it calls ``next``.
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
        """Initialise the time per token from the settings."""
        self._token_s = self.settings.token_s

    def offer(self, item: WaitingItem, now_s: float) -> Refusal | None:
        """Queue an item, or return its refusal."""
        queue = self._queue_of(item, now_s)
        wait_s = self._expected_wait_s(queue, item.batch, now_s)
        expires_at_s = self._expires_at_s(item, now_s)
        if now_s + self.settings.wait_margin * wait_s > expires_at_s:
            return self._refusal(Reason.DEADLINE_EXCEEDED, wait_s)
        if self.queued >= self.settings.max_queue and not self._evict_from_longest(
            queue, now_s
        ):
            return self._refusal(Reason.OVERLOADED, wait_s)
        if not queue.queued:
            queue.next_start_tag = self._start_tag(queue, now_s)
        self._count_arrival(item.batch)
        queue.append(item, expires_at_s)
        return None

    def next(self, now_s: float) -> WaitingItem | None:
        """Remove and return the next item to run, if the limit has room.

        Refuses expired items, see ``take_refused``.
        """
        self._refuse_expired(now_s)
        if len(self.running) >= self.limit:
            return None
        selected = self._select(now_s)
        if selected is None:
            return None
        queue, batch = selected
        item = queue.pop(batch)
        self._kind_counts[batch] -= 1
        self._virtual_time = max(self._virtual_time, queue.next_start_tag)
        queue.next_start_tag += item.cost_tokens / item.weight
        self._kind_tags[batch] += item.cost_tokens / self._kind_share(batch)
        queue.running += 1
        self.running[item.request_id] = (item, now_s)
        return item

    def finish(
        self,
        item: WaitingItem,
        now_s: float,
        ok: bool,
        used_tokens: float | None = None,
    ) -> None:
        """Free the slot of an item that ``next`` returned.

        ``used_tokens`` replaces the expected work, so that an organisation gains
        nothing by understating it.
        """
        _, started_at_s = self.running.pop(item.request_id)
        queue = self._queues[item.organisation]
        queue.running -= 1
        used = item.cost_tokens if used_tokens is None else used_tokens
        queue.next_start_tag += (used - item.cost_tokens) / item.weight
        if ok and used > 0:
            self._update_token_s((now_s - started_at_s) / used)

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting item and return whether it was waiting."""
        for queue in self._queues.values():
            item = queue.remove(request_id)
            if item is not None:
                self._kind_counts[item.batch] -= 1
                return True
        return False

    def take_refused(self) -> tuple[RefusedItem, ...]:
        """Return the items refused since the last call, none of which has run."""
        refused = tuple(self._refused)
        self._refused.clear()
        return refused

    @property
    def queued(self) -> int:
        """Number of waiting items."""
        return self._kind_counts[False] + self._kind_counts[True]

    def _update_token_s(self, token_s: float) -> None:
        """Update the moving average of the time per token.

        The first samples are weighted equally.
        """
        self._samples += 1
        weight = max(self.settings.smoothing, 1.0 / self._samples)
        self._token_s += weight * (token_s - self._token_s)

    def _service_s(self, item: WaitingItem) -> float:
        """Return the estimated run time of an item, 0 before ``min_samples``.

        Without samples, an estimate could refuse work that an idle endpoint can do.
        """
        has_samples = self._samples >= self.settings.min_samples
        return item.cost_tokens * self._token_s if has_samples else 0.0

    def _queue_of(self, item: WaitingItem, now_s: float) -> OrganisationQueue:
        """Return the organisation's queue; removes idle queues at the upper bound."""
        queue = self._queues.get(item.organisation)
        if queue is None:
            if len(self._queues) >= _MAX_QUEUES:
                self._remove_idle(now_s)
            queue = self._queues[item.organisation] = OrganisationQueue(
                item.weight, now_s
            )
        queue.weight = item.weight
        queue.last_seen_s = now_s
        return queue

    def _remove_idle(self, now_s: float) -> None:
        oldest = now_s - self.settings.active_s
        for name, queue in list(self._queues.items()):
            if not queue.queued and not queue.running and queue.last_seen_s < oldest:
                del self._queues[name]

    def _select(self, now_s: float) -> tuple[OrganisationQueue, bool] | None:
        """Return the queue and the kind (batch or not) that run next."""
        free = self.limit - len(self.running)
        is_scarce = free <= int(self.settings.reserved_share * self.limit)
        fits = self._reserve_filter(now_s) if is_scarce else _accept_any
        candidates: dict[bool, OrganisationQueue] = {}
        for batch in (False, True):
            if not self._kind_counts[batch]:
                continue
            if batch and is_scarce and not self._kind_counts[False]:
                continue
            queues = [q for q in self._queues.values() if q.waiting(batch) and fits(q)]
            if queues:
                candidates[batch] = min(queues, key=lambda q: q.next_start_tag)
        if not candidates:
            return None
        batch = min(candidates, key=lambda kind: self._kind_tags[kind])
        return candidates[batch], batch

    def _reserve_filter(self, now_s: float) -> Callable[[OrganisationQueue], bool]:
        """Return a filter that admits only queues within their share.

        It applies to the last free slots. Otherwise one organisation's flood takes
        every slot that becomes free, and requests of the others wait until a complete
        answer has ended.
        """

        def fits(queue: OrganisationQueue) -> bool:
            return self._is_within_share(queue, now_s)

        return fits

    def _start_tag(self, queue: OrganisationQueue, now_s: float) -> float:
        """Return the start tag of the next item of a queue.

        It is the end of the queue's previous work, but at most ``_credit`` behind the
        virtual time, so an organisation that used less than its share may burst.
        Without this credit, a long answer or two concurrent requests at one endpoint
        would put its next request behind a complete flood of another organisation,
        although over a minute it uses only part of its share.
        """
        return max(self._virtual_time - self._credit(now_s), queue.next_start_tag)

    def _credit(self, now_s: float) -> float:
        """Return the tokens per unit of weight that are served in ``credit_s``."""
        tokens_per_s = self.limit / max(_MIN_TOKEN_S, self._token_s)
        return self.settings.credit_s * tokens_per_s / self._active_weight(now_s)

    def _is_within_share(self, queue: OrganisationQueue, now_s: float) -> bool:
        """Return whether a queue has credit or runs at most about its share."""
        if queue.next_start_tag < self._virtual_time:
            return True
        share = self.settings.slack * self.limit / self._active_weight(now_s)
        return (queue.running + 1) / queue.weight <= share

    def _active_weight(self, now_s: float) -> float:
        """Return the total weight of organisations with work now or recently."""
        oldest = now_s - self.settings.active_s
        return sum(
            queue.weight
            for queue in self._queues.values()
            if queue.queued or queue.running or queue.last_seen_s >= oldest
        )

    def _count_arrival(self, batch: bool) -> None:
        """Count an arrival; an idle kind continues at the higher of the two tags.

        An idle kind thus accumulates no credit.
        """
        if not self._kind_counts[batch]:
            level = max(self._kind_tags[batch], self._kind_tags[not batch])
            self._kind_tags[batch] = level
        self._kind_counts[batch] += 1

    def _kind_share(self, batch: bool) -> float:
        share = self.settings.batch_share
        return share if batch else 1.0 - share

    def _expected_wait_s(
        self, queue: OrganisationQueue, batch: bool, now_s: float
    ) -> float:
        """Return the estimated wait of a new item.

        It is the time to serve the tokens of the same kind that run before it.
        """
        is_idle = self.queued == 0 and len(self.running) < self.limit
        if is_idle or self._samples < self.settings.min_samples:
            return 0.0
        own_work = sum(queue.queued_tokens.values()) / queue.weight
        start_offset = max(
            0.0, self._start_tag(queue, now_s) + own_work - self._virtual_time
        )
        ahead = queue.queued_tokens[batch] + sum(
            min(other.queued_tokens[batch], start_offset * other.weight)
            for other in self._queues.values()
            if other is not queue and other.queued
        )
        share = self._kind_share(batch) if self._kind_counts[not batch] else 1.0
        return ahead * self._token_s / (max(1, self.limit) * share)

    def _expires_at_s(self, item: WaitingItem, now_s: float) -> float:
        """Return when an item expires.

        It waits for part of the time to its deadline, which leaves time for a retry.
        """
        time_left_s = item.deadline_at_s - now_s
        longest_s = self.settings.max_wait_share * time_left_s
        return now_s + min(longest_s, time_left_s - self._service_s(item))

    def _refuse_expired(self, now_s: float) -> None:
        """Refuse the items that have expired."""
        if now_s - self._expiry_checked_at_s < self.settings.look_every_s:
            return
        self._expiry_checked_at_s = now_s
        for queue in self._queues.values():
            for item in queue.expired(now_s):
                queue.remove(item.request_id)
                self._refuse(queue, item, Reason.DEADLINE_EXCEEDED, now_s)

    def _refusal(self, reason: Reason, wait_s: float) -> Refusal:
        retry_after_s = max(self.settings.min_retry_after_s, wait_s)
        return Refusal(reason, not_run=True, retry_after_s=retry_after_s)

    def _evict_from_longest(self, new_queue: OrganisationQueue, now_s: float) -> bool:
        """Evict the newest item of the longest queue by weight.

        Returns False, and evicts nothing, if that is the queue of the new item.
        """
        longest = max(self._queues.values(), key=lambda q: q.queued / q.weight)
        if longest.queued / longest.weight <= (new_queue.queued + 1) / new_queue.weight:
            return False
        item = longest.pop(bool(longest.batch), newest=True)
        self._refuse(longest, item, Reason.OVERLOADED, now_s)
        return True

    def _refuse(
        self, queue: OrganisationQueue, item: WaitingItem, reason: Reason, now_s: float
    ) -> None:
        """Record the refusal of an item that was removed from its queue."""
        self._kind_counts[item.batch] -= 1
        wait_s = self._expected_wait_s(queue, item.batch, now_s)
        self._refused.append(RefusedItem(item, self._refusal(reason, wait_s)))


def _accept_any(_: OrganisationQueue) -> bool:
    return True
