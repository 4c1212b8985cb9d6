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
        self._next_offset = -1
        self._read_s = -1e9
        self._due_s: dict[tuple[str, RolloutState], float] = {}
        self._offsets: dict[str, int] = {}

    async def run(self) -> None:
        """Evaluate and record until cancelled."""
        while not await self._read_outcomes():
            await asyncio.sleep(STEP_EVERY_S)
        self._gateway.view.outcomes_loaded = True
        while True:
            await asyncio.sleep(STEP_EVERY_S)
            self._sync_orders()
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
        if self._gateway.peer_outcomes_offset > self._next_offset:
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
                or order.revision != progress.order.revision
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
        try:
            if self._next_offset < 0:
                page = await self._metadata.newest(LogStream.OUTCOMES)
            else:
                page = await self._metadata.read(
                    LogStream.OUTCOMES, self._next_offset, 0.0
                )
        except OffsetExpiredError:
            self._next_offset = -1
            return False
        except PlatformUnavailableError:
            # The readers of the decision stream log the outage; the next round retries.
            return False
        for record in page.records:
            self._apply(record)
        self._next_offset = page.next_offset
        self._gateway.outcomes_offset = page.next_offset
        if page.records:
            self._gateway.outcomes_changed_s = self._read_s
        return True

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
        if outcome is not None:
            self._gateway.view.outcomes[outcome.service] = outcome

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
        now_s = asyncio.get_running_loop().time()
        key = (progress.order.service, state)
        if key not in self._due_s:
            self._due_s[key] = now_s + SLOT_S * self._slot()
        if now_s < self._due_s[key]:
            return
        self._due_s[key] = now_s + RETRY_S
        # A process that was suspended after its evaluation may hold a stale view. It
        # first reads what others have recorded since then, and the append is rejected
        # if anything was written after that read.
        if not await self._read_outcomes() or self._is_ended(progress.order):
            return
        if self._missing_state(progress) is state:
            await self._record(progress, state)

    def _slot(self) -> int:
        name = self._gateway.settings.name
        return sorted({name, *self._gateway.peers}).index(name)

    async def _record(self, progress: RolloutProgress, state: RolloutState) -> None:
        """Append the state, provided that nothing was written since the last read."""
        order = progress.order
        status = RolloutStatus(order.service, order.target, state, self._next_offset)
        name, value = self._codec.write_outcome(status)
        try:
            await self._metadata.append(
                LogStream.OUTCOMES, name, value, self._next_offset
            )
        except (AppendConflictError, PlatformUnavailableError) as error:
            self._gateway.log.write(
                Event.ROLLOUT_NOT_RECORDED,
                service=order.service,
                state=state.value,
                detail=str(error),
            )
            await self._read_outcomes()
            return
        self._gateway.log.write(
            Event.ROLLOUT_RECORDED,
            service=order.service,
            target=order.target,
            state=state.value,
        )
        await self._read_outcomes()
