"""Admits attempts to the endpoint from a bounded, fair queue."""

import asyncio

from attrs import define, field

from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.concurrency_limit import ConcurrencyLimit
from acaciacove.decisions.ramp import Ramp
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.messages.load import Load
from acaciacove.messages.run import Run
from acaciacove.refusal import Refusal
from acaciacove.sidecar.attempt_outcome import AttemptOutcome
from acaciacove.sidecar.ticket import Ticket

RECHECK_INTERVAL_S = 0.05
EWMA_WEIGHT = 0.1
DEFAULT_WEIGHT = 1.0
UNLIMITED_CONCURRENCY = 1e6
LIMIT_UPDATE_INTERVAL_S = 0.1


@define(eq=False)
class AdmissionController:
    """Admits attempts in the order of the fair queue, within the ramp limits.

    AdmissionQueue and Ramp make the decisions. This class only tracks the waiting
    and running attempts.
    """

    queue: AdmissionQueue
    ramps: dict[VersionId, Ramp] = field(factory=dict)
    adaptive_limit: ConcurrencyLimit = field(
        factory=lambda: ConcurrencyLimit(UNLIMITED_CONCURRENCY)
    )
    service_s: float = 0.0
    queue_delay_s: float = 0.0
    _waiting: dict[str, asyncio.Future[Refusal | None]] = field(factory=dict)
    _items: dict[str, WaitingItem] = field(factory=dict)
    _running: set[Ticket] = field(factory=set)
    _recheck: asyncio.TimerHandle | None = None

    def update(self, fleet: FleetState, served: frozenset[VersionId]) -> None:
        """Keep one ramp for each served version; a changed version gets a new one."""
        now_s = _now_s()
        for version in served & fleet.versions.keys():
            ramp = self.ramps.get(version)
            if ramp is None or ramp.version != fleet.versions[version]:
                self.ramps[version] = Ramp(fleet.versions[version], now_s)
        for version in self.ramps.keys() - served:
            del self.ramps[version]

    async def admit(self, run: Run, weight: float = DEFAULT_WEIGHT) -> Ticket | Refusal:
        """Wait for admission; a refused attempt has not reached the endpoint."""
        arrived_at_s = _now_s()
        item = _waiting_item(run, weight, arrived_at_s)
        refusal = self.queue.offer(item, arrived_at_s)
        if refusal is not None:
            return refusal
        admitted: asyncio.Future[Refusal | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[item.request_id] = admitted
        self._items[item.request_id] = item
        self._admit_waiting()
        try:
            refusal = await admitted
        except asyncio.CancelledError:
            self._remove_cancelled(item, admitted)
            raise
        if refusal is not None:
            del self._items[item.request_id]
            return refusal
        admitted_at_s = _now_s()
        self._record_queue_delay(admitted_at_s - arrived_at_s)
        ticket = Ticket(run, arrived_at_s, admitted_at_s)
        self._running.add(ticket)
        return ticket

    def release(self, ticket: Ticket, outcome: AttemptOutcome) -> None:
        """Release the slot of an attempt and record how the attempt ended."""
        now_s = _now_s()
        completed = outcome is AttemptOutcome.COMPLETED
        self._running.discard(ticket)
        item = self._items.pop(_attempt_id(ticket.run))
        self.queue.finish(item, now_s, completed, ticket.tokens or None)
        if outcome is not AttemptOutcome.INCONCLUSIVE:
            self._record_attempt(ticket, completed, now_s)
        self._admit_waiting()

    def update_limits(self) -> None:
        """Check the wait for the next token, and apply limits that have grown.

        A thrashing engine may take minutes to complete an attempt. The age of its
        most recent token shows the fault within a fraction of a second.
        """
        now_s = _now_s()
        last_chunk_times_s = [
            t.last_chunk_at_s for t in self._running if t.last_chunk_at_s > 0
        ]
        for ramp in self.ramps.values():
            if last_chunk_times_s:
                ramp.observed_gap(now_s - max(last_chunk_times_s), now_s)
        if self._is_cold():
            self.adaptive_limit.reset(self._warm_capacity())
        self._admit_waiting()

    def _record_attempt(self, ticket: Ticket, completed: bool, now_s: float) -> None:
        """Update the ramp and the adaptive limit from one attempt."""
        service_s = now_s - ticket.admitted_at_s
        if completed:
            self.service_s += EWMA_WEIGHT * (service_s - self.service_s)
        version = parse_version_id(ticket.run.version)
        ramp = self.ramps.get(version) if version else None
        if ramp is None:
            return
        was_warm = ramp.warm
        token_s = ticket.token_s(now_s)
        ramp.finished(token_s, completed, now_s, ticket.admitted_at_s)
        if was_warm and ramp.warm:
            self.adaptive_limit.finished(
                token_s, ticket.admitted_at_s, completed, now_s, self._warm_capacity()
            )

    def _is_cold(self) -> bool:
        return any(not ramp.warm for ramp in self.ramps.values())

    def _warm_capacity(self) -> int:
        """Return how many attempts the warm endpoint can serve concurrently."""
        return min((r.version.warm_bears for r in self.ramps.values()), default=0)

    def reported(self, load: Load, restarts: int) -> None:
        """Apply the endpoint's report of its load and restart count."""
        for ramp in self.ramps.values():
            ramp.reported(load, restarts, _now_s())

    def load(self) -> Load:
        """Return the current load and concurrency limit of the endpoint."""
        return Load(
            in_flight=len(self.queue.running),
            queued=self.queue.queued,
            limit=self._limit(),
            cold=self._is_cold(),
            queue_delay_s=self.queue_delay_s,
            service_s=self.service_s,
        )

    def _limit(self) -> int:
        """Return how many attempts may run: the lowest limit of all versions.

        Versions share one engine. The sum of their limits would overload a cold
        version with load meant for a warm one. The adaptive limit protects a warm
        endpoint whose capacity is lower than declared.
        """
        now_s = _now_s()
        ramp_limit = min((ramp.limit(now_s) for ramp in self.ramps.values()), default=0)
        return min(ramp_limit, max(1, int(self.adaptive_limit.limit)))

    def _admit_waiting(self) -> None:
        """Admit queued attempts up to the limit; refuse those that would be late."""
        now_s = _now_s()
        self.queue.limit = self._limit()
        while (item := self.queue.next(now_s)) is not None:
            self._resolve(item.request_id, None)
        for refused in self.queue.take_refused():
            self._resolve(refused.item.request_id, refused.refusal)
        self._schedule_recheck()

    def _resolve(self, item_id: str, refusal: Refusal | None) -> None:
        admitted = self._waiting.pop(item_id, None)
        if admitted is not None and not admitted.done():
            admitted.set_result(refusal)

    def _schedule_recheck(self) -> None:
        """Schedule a recheck while attempts wait, as limits and deadlines change."""
        if self._recheck is not None:
            self._recheck.cancel()
            self._recheck = None
        if self.queue.queued:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(RECHECK_INTERVAL_S, self._admit_waiting)

    def _remove_cancelled(
        self, item: WaitingItem, admitted: asyncio.Future[Refusal | None]
    ) -> None:
        """Remove an attempt that was cancelled while it waited for admission."""
        self._waiting.pop(item.request_id, None)
        del self._items[item.request_id]
        is_decided = admitted.done() and not admitted.cancelled()
        if is_decided and admitted.result() is not None:
            # Refused in the same step of the event loop: the queue has dropped it.
            return
        if not self.queue.cancel(item.request_id):
            self.queue.finish(item, _now_s(), False)
            self._admit_waiting()

    def _record_queue_delay(self, delay_s: float) -> None:
        self.queue_delay_s += EWMA_WEIGHT * (delay_s - self.queue_delay_s)


async def run_limit_updates(admission: AdmissionController) -> None:
    """Update the limits periodically from the running attempts."""
    while True:
        await asyncio.sleep(LIMIT_UPDATE_INTERVAL_S)
        admission.update_limits()


def _waiting_item(run: Run, weight: float, now_s: float) -> WaitingItem:
    return WaitingItem(
        request_id=_attempt_id(run),
        organisation=run.organisation,
        weight=weight,
        cost_tokens=max(1, run.estimated_tokens),
        deadline_at_s=now_s + run.deadline_s,
        batch=run.batch,
    )


def _attempt_id(run: Run) -> str:
    """Return an id per attempt: hedges of a request may share one endpoint."""
    return f"{run.request_id}/{run.attempt}"


def _now_s() -> float:
    return asyncio.get_running_loop().time()
