"""Evaluates the roll-outs in progress and records their outcomes."""

import asyncio

from acaciacove.errors import (
    MalformedMessageError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.catalogue.rollout_status import RolloutStatus
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_position import (
    BEFORE_ALL,
    LogPosition,
    is_restoration,
)
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import AppendConflictError, MetadataLog
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.rollout.evidence import total
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_state import RolloutState
from acaciacove.gateway.rollout.rollout_steps import may_complete, step
from acaciacove.gateway.rollout.version_capacity import VersionCapacity

STEP_EVERY_S = 0.1
# The interval between reads of outcomes while a roll-out is in progress. Outcomes are
# also read right before one is recorded. All gateways together make at most two of
# these calls per second. A gateway that learns of a newer outcome from a peer reads at
# once.
READ_EVERY_S = 5.0
FLEET_READS_PER_S = 2.0
# Gateways record in staggered slots of this length, so that usually only one of them
# makes the call. The condition on the append resolves races.
SLOT_S = 0.2
RETRY_S = 0.4


class OutcomeRecorder:
    """Runs in every gateway; usually the one with the first slot records."""

    def __init__(
        self, gateway: Gateway, metadata: MetadataLog, codec: RecordCodec
    ) -> None:
        """Start without roll-outs."""
        self._gateway = gateway
        self._metadata = metadata
        self._codec = codec
        self._read = BEFORE_ALL
        self._is_lost = True
        self._read_s = -1e9
        self._due_s: dict[tuple[str, RolloutState], float] = {}
        self._offsets: dict[str, int] = {}
        # Outcomes that the log held before it returned from a copy, and lacks since.
        self._lost_outcomes: dict[str, RolloutStatus] = {}

    async def run(self) -> None:
        """Evaluate and record until cancelled."""
        while not await self._read_outcomes():
            await asyncio.sleep(STEP_EVERY_S)
        self._gateway.view.outcomes_loaded = True
        while True:
            await asyncio.sleep(STEP_EVERY_S)
            if self._read.era != self._gateway.era.current:
                await self._read_outcomes()
            self._sync_orders()
            for lost in list(self._lost_outcomes.values()):
                await self._record_again_in_slot(lost)
            if not self._gateway.rollouts:
                continue
            now_s = asyncio.get_running_loop().time()
            if now_s - self._read_s >= self._read_every_s():
                await self._read_outcomes()
            for progress in list(self._gateway.rollouts.values()):
                self._step(progress)
                missing = self._missing_state(progress)
                if missing is not None:
                    await self._record_in_slot(progress, missing)

    def _read_every_s(self) -> float:
        if self._gateway.peer_outcomes_read > self._read:
            return RETRY_S
        return max(READ_EVERY_S, self._gateway.gateway_count / FLEET_READS_PER_S)

    def _sync_orders(self) -> None:
        """Start and end roll-outs according to the current orders and outcomes."""
        gateway = self._gateway
        for service in list(gateway.rollouts):
            order = gateway.view.orders.get(service)
            progress = gateway.rollouts[service]
            if (
                order is None
                or order.order_id != progress.order.order_id
                or self._is_ended(order)
            ):
                del gateway.rollouts[service]
        for service, order in gateway.view.orders.items():
            if service not in gateway.rollouts and not self._is_ended(order):
                gateway.rollouts[service] = RolloutProgress(
                    order, began_s=order.seen_s, phase_since_s=order.seen_s
                )

    def _is_ended(self, order: RolloutOrder) -> bool:
        outcome = self._gateway.view.outcomes.get(order.service)
        return (
            outcome is not None
            and outcome.target == order.target
            and outcome.state.is_final
        )

    async def _read_outcomes(self) -> bool:
        """Read new outcomes; return false if the log cannot be read now."""
        self._read_s = asyncio.get_running_loop().time()
        is_snapshot = self._is_lost or self._read.era != self._gateway.era.current
        try:
            if is_snapshot:
                page = await self._metadata.newest(LogStream.OUTCOMES)
            else:
                page = await self._metadata.read(
                    LogStream.OUTCOMES, self._read.offset, 0.0
                )
        except OffsetExpiredError:
            self._is_lost = True
            return False
        except PlatformUnavailableError:
            # The readers of the decision stream log the outage; the next round retries.
            return False
        if not is_snapshot and page.era != self._read.era:
            # The offset is one of a history that is gone.
            self._is_lost = True
            return False
        end = LogPosition(page.era, page.next_offset)
        is_restored = is_restoration(self._read, end)
        if is_restored:
            self._begin_history()
        for record in page.records:
            self._apply(record)
        if is_restored:
            self._log_lost_outcomes()
        self._read, self._is_lost = end, False
        self._gateway.outcomes_read = end
        if page.records:
            self._gateway.outcomes_changed_s = self._read_s
        return True

    def _begin_history(self) -> None:
        """Keep what is known until the log holds it again, or a later outcome."""
        self._offsets.clear()
        # The gateways take turns anew.
        self._due_s.clear()
        self._lost_outcomes = dict(self._gateway.view.outcomes)

    def _log_lost_outcomes(self) -> None:
        for outcome in self._lost_outcomes.values():
            self._gateway.log.write(
                Event.ROLLOUT_RECORD_LOST,
                service=outcome.service,
                target=outcome.target,
                state=outcome.state.value,
            )

    def _apply(self, record: LogRecord) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        try:
            outcome = self._codec.read_outcome(record)
        except MalformedMessageError as error:
            self._gateway.log.write(
                Event.RECORD_UNREADABLE, key=record.key, detail=str(error)
            )
            return
        if outcome is None:
            return
        lost = self._lost_outcomes.get(outcome.service)
        if lost is not None and not self._replaces(outcome, lost):
            return
        self._lost_outcomes.pop(outcome.service, None)
        self._gateway.view.outcomes[outcome.service] = outcome

    def _replaces(self, found: RolloutStatus, lost: RolloutStatus) -> bool:
        """Return whether an outcome in the log is not older than one that it lost."""
        if found.target == lost.target:
            return found.state.is_final or found.state is lost.state
        order = self._gateway.view.orders.get(found.service)
        return order is not None and order.target == found.target

    def _step(self, progress: RolloutProgress) -> None:
        phase = progress.phase
        now_s = asyncio.get_running_loop().time()
        capacity = self._capacity(progress.order)
        step(progress, self._gateway.rollout_settings, capacity, now_s)
        if progress.phase is not phase:
            self._log_phase(progress, now_s)

    def _capacity(self, order: RolloutOrder) -> VersionCapacity:
        view = self._gateway.view
        usable = [
            endpoint.version == order.target
            for endpoint in view.endpoints.values()
            if endpoint.service == order.service
            and not self._gateway.states.is_leaving(endpoint)
            and endpoint.availability_zone not in view.zones_out
        ]
        return VersionCapacity(target=sum(usable), old=len(usable) - sum(usable))

    def _log_phase(self, progress: RolloutProgress, now_s: float) -> None:
        new, old = total(progress.cells(True)), total(progress.cells(False))
        self._gateway.log.write(
            Event.ROLLOUT_PHASE,
            service=progress.order.service,
            target=progress.order.target,
            phase=progress.phase.value,
            age_s=round(now_s - progress.began_s, 2),
            sent_target=progress.sent_target,
            sent_all=progress.sent_all,
            judged_bad=progress.judged_bad,
            new_answers=new.answers,
            new_failures=new.failures,
            new_judged=new.judged,
            new_late=new.late,
            old_answers=old.answers,
            old_failures=old.failures,
            old_judged=old.judged,
            old_late=old.late,
            peers=len(progress.peer_views),
        )

    def _missing_state(self, progress: RolloutProgress) -> RolloutState | None:
        """Return the state that should be recorded but is not, if any."""
        if progress.phase is RolloutPhase.STOPPED:
            return RolloutState.ROLLED_BACK
        now_s = asyncio.get_running_loop().time()
        capacity = self._capacity(progress.order)
        settings = self._gateway.rollout_settings
        if may_complete(progress, settings, capacity, now_s):
            return RolloutState.COMPLETED
        recorded = self._gateway.view.outcomes.get(progress.order.service)
        if recorded is None or recorded.target != progress.order.target:
            return RolloutState.IN_PROGRESS
        return None

    async def _record_in_slot(
        self, progress: RolloutProgress, state: RolloutState
    ) -> None:
        if not self._is_due((progress.order.service, state)):
            return
        # A process that was suspended after its evaluation may hold a stale view. It
        # first reads what others have recorded since then, and the append is rejected
        # if anything was written after that read.
        if not await self._read_outcomes() or self._is_ended(progress.order):
            return
        if self._missing_state(progress) is state:
            order = progress.order
            await self._append(
                RolloutStatus(order.service, order.target, state, self._read.offset)
            )

    async def _record_again_in_slot(self, lost: RolloutStatus) -> None:
        """Record an outcome that the log lost, unless another gateway does."""
        if not self._is_due((lost.service, lost.state)):
            return
        if await self._read_outcomes() and lost.service in self._lost_outcomes:
            await self._append(lost)

    def _is_due(self, key: tuple[str, RolloutState]) -> bool:
        """Return whether the slot of this gateway has come, and plan the next try."""
        now_s = asyncio.get_running_loop().time()
        if key not in self._due_s:
            self._due_s[key] = now_s + SLOT_S * self._gateway.rank()
        if now_s < self._due_s[key]:
            return False
        self._due_s[key] = now_s + RETRY_S
        return True

    async def _append(self, status: RolloutStatus) -> None:
        """Append an outcome, provided that nothing was written since the last read."""
        name, value = self._codec.write_outcome(status)
        failure = None
        try:
            written = await self._metadata.append(
                LogStream.OUTCOMES, name, value, self._read.offset
            )
            if written.era != self._read.era:
                # The condition held in a history that was not read. The next read,
                # a snapshot, shows what the log holds now.
                failure = f"read in era {self._read.era}, written in {written.era}"
        except (AppendConflictError, PlatformUnavailableError) as error:
            failure = str(error)
        if failure is not None:
            self._gateway.log.write(
                Event.ROLLOUT_NOT_RECORDED,
                service=status.service,
                state=status.state.value,
                detail=failure,
            )
        else:
            self._gateway.log.write(
                Event.ROLLOUT_RECORDED,
                service=status.service,
                target=status.target,
                state=status.state.value,
            )
        await self._read_outcomes()
