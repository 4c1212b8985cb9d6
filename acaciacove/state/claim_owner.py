"""Runs calls that may not be repeated, each at most once."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import suppress
from random import Random

from acaciacove.errors import (
    LogQueueFullError,
    MalformedMessageError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.platform.log_entry import LogEntry
from acaciacove.platform.platform_log import PlatformLog
from acaciacove.platform.service_answer import ServiceAnswer
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.append_state import AppendState
from acaciacove.state.batch_codec import decode_batch
from acaciacove.state.claim import Claim
from acaciacove.state.claim_codec import (
    ClaimRecord,
    claims_stream,
    decode_claim_record,
    encode_claim_record,
)
from acaciacove.state.claim_partition import ClaimPartition
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.claim_status import ClaimStatus
from acaciacove.state.claim_table import ClaimTable
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.log_tail import LogTail
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.outcome import Outcome
from acaciacove.state.own_call import OwnCall
from acaciacove.state.priority import Priority
from acaciacove.state.release import Release
from acaciacove.state.rendezvous import partition_of

Result = ServiceAnswer | Refusal
Call = Callable[[], Awaitable[Result]]
AskOwner = Callable[[str, ClaimQuery], Awaitable[ClaimAnswer | None]]
IsGone = Callable[[str, int], bool]

RETRY_LATER_S = 1.0
SHORTEST_POLL_S = 0.001
CLAIM_ID_BITS = 64


class ClaimOwner:
    """The claims of one sidecar.

    ``ask_owner`` sends a query to another sidecar and returns its answer, or None
    when it cannot be reached. ``is_gone`` tells whether an incarnation of an
    instance has ended. ``wall_s`` returns Unix time. ``run`` is the task that
    keeps the partitions read; claims also work without it, more slowly.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        log: PlatformLog,
        writer: LogWriter,
        settings: ClaimSettings,
        random: Random,
        wall_s: Callable[[], float],
        ask_owner: AskOwner,
        is_gone: IsGone,
    ) -> None:
        """Take what the owner works with; nothing is read before it is needed."""
        self._name = name
        self._incarnation = incarnation
        self._log = log
        self._writer = writer
        self._settings = settings
        self._random = random
        self._wall_s = wall_s
        self._ask_owner = ask_owner
        self._is_gone = is_gone
        self._partitions: dict[int, ClaimPartition] = {}
        self._own: dict[str, OwnCall] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unsent: deque[ClaimRecord] = deque()
        self._queries = 0
        writer.listen(self._appended)

    @property
    def running(self) -> int:
        """Return how many claimed calls are under way."""
        return sum(1 for own in self._own.values() if not own.done.done())

    async def run_once(
        self,
        key: str,
        fingerprint: str,
        deadline_s: float,
        call: Call,
        organisation: str = "",
        issued_s: float | None = None,
    ) -> Result:
        """Answer a call that may run at most once, whoever else is asked.

        ``key`` and ``fingerprint`` are those of ``state.claim_key``, ``issued_s``
        the key's age if it is known. ``deadline_s`` is the loop's time. ``call``
        makes the one call; a refusal of it with ``not_run`` promises that no byte
        has left. It is finished and recorded also when the caller has gone. A
        refusal with ``not_run`` is true and stays true for this request.
        """
        refusal = self._refuse_by_age(issued_s)
        if refusal is not None:
            return refusal
        loop = asyncio.get_running_loop()
        while True:
            result = await self._try(
                key, fingerprint, deadline_s, call, organisation, issued_s
            )
            if result is not None:
                return result
            if loop.time() >= deadline_s:
                return _unavailable("the key was released too late to claim it anew")

    async def run(self, usual: Callable[[], Iterable[int]]) -> None:
        """Keep the partitions read for which this process is the usual owner."""
        while True:
            for number in usual():
                await self._refresh(number)
            for partition in self._partitions.values():
                partition.table.forget(self._wall_s())
            self._forget_own()
            self._resend()
            await asyncio.sleep(self._settings.refresh_s)

    async def finish(self, deadline_s: float) -> bool:
        """Wait for the calls under way and for their records to be in the log."""
        loop = asyncio.get_running_loop()
        while self._tasks and loop.time() < deadline_s:
            await asyncio.wait(self._tasks, timeout=deadline_s - loop.time())
        self._resend()
        landed = await self._writer.flush(deadline_s)
        return landed and not self._tasks and not self._unsent

    def on_query(self, query: ClaimQuery) -> ClaimAnswer:
        """Answer another owner that met a claim of this process."""
        own = self._own.get(query.key)
        status = ClaimStatus.NOT_HELD if own is None else own.status
        answer = ServiceAnswer(0)
        if own is not None and status is ClaimStatus.DONE:
            result = own.done.result()
            assert isinstance(result, ServiceAnswer)
            answer = result
        return ClaimAnswer(
            query_id=query.query_id,
            key=query.key,
            status=status,
            http_status=answer.status,
            headers=answer.headers,
            body=answer.body,
            incarnation=self._incarnation,
        )

    def _refuse_by_age(self, issued_s: float | None) -> Refusal | None:
        """Refuse keys that may have been used and forgotten."""
        settings = self._settings
        if issued_s is None:
            if settings.dated_keys_only:
                detail = "the key has to be a UUID version 7"
                return Refusal(Reason.KEY_REQUIRED, True, detail)
            return None
        age_s = self._wall_s() - issued_s
        if age_s > settings.window_s:
            return Refusal(Reason.KEY_EXPIRED, False, "the key is past its window")
        if age_s < -settings.clock_error_s:
            return Refusal(Reason.KEY_EXPIRED, True, "the key is from the future")
        return None

    async def _try(
        self,
        key: str,
        fingerprint: str,
        deadline_s: float,
        call: Call,
        org: str,
        issued_s: float | None,
    ) -> Result | None:
        """Run, join or look up the call of a key; None when the key came free."""
        own = self._own.get(key)
        if own is None:
            held = self._partition(key).table.holder(key)
            if held is not None:
                return await self._resolve(held, fingerprint, deadline_s)
            claim = self._new_claim(key, fingerprint, org)
            own = self._start(claim, deadline_s, call, issued_s)
        elif own.claim.fingerprint != fingerprint:
            return _reused()
        return await self._join(own, deadline_s)

    def _new_claim(self, key: str, fingerprint: str, organisation: str) -> Claim:
        return Claim(
            key=key,
            claim_id=f"{self._name}/{self._incarnation}/{self._new_id()}",
            owner=self._name,
            incarnation=self._incarnation,
            fingerprint=fingerprint,
            at_s=self._wall_s(),
            organisation=organisation,
        )

    def _start(
        self, claim: Claim, deadline_s: float, call: Call, issued_s: float | None
    ) -> OwnCall:
        """Claim a key in a task of its own, which a caller that leaves cannot end."""
        done = asyncio.get_running_loop().create_future()
        own = OwnCall(claim, deadline_s, done, issued_s)
        self._own[claim.key] = own
        task = asyncio.create_task(self._drive(own, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return own

    async def _join(self, own: OwnCall, deadline_s: float) -> Result | None:
        """Wait for a call of this process."""
        timeout_s = deadline_s - asyncio.get_running_loop().time()
        done, _ = await asyncio.wait({own.done}, timeout=max(0.0, timeout_s))
        if done:
            return own.done.result()
        if own.started or own.deadline_s > deadline_s:
            return _in_progress()
        # The claim's task decides in this same moment whether the call is still
        # started. Saying "not run" before it has decided could turn out false.
        return await asyncio.shield(own.done)

    async def _drive(self, own: OwnCall, call: Call) -> None:
        """Claim, call and record; the only place where a call is made."""
        refusal = await self._claim(own)
        if refusal is not None:
            self._give_up(own, refusal)
            return
        if not self._holds(own):
            del self._own[own.claim.key]
            own.done.set_result(None)
            return
        late = self._too_late(own) or self._not_covered(own)
        if late is not None:
            self._record(Release(own.claim.key, own.claim.claim_id))
            self._give_up(own, late)
            return
        await self._make_call(own, call)

    async def _claim(self, own: OwnCall) -> Refusal | None:
        """Append the claim and read up to it; a refusal when that takes too long."""
        loop = asyncio.get_running_loop()
        until_s = min(own.deadline_s, loop.time() + self._settings.claim_wait_s)
        claim = own.claim
        number = partition_of(claim.key, self._settings.partitions)
        item = encode_claim_record(claim)
        try:
            appended = await self._writer.append(
                claims_stream(number), item, Priority.CLAIM, until_s
            )
        except LogQueueFullError as error:
            return _unavailable(str(error))
        if appended.state is AppendState.NOT_APPENDED:
            return _unavailable("the log took no claim in time")
        release = Release(claim.key, claim.claim_id)
        if not appended.appended:
            # The claim may be in the log without an answer. Running on it could
            # follow somebody else's earlier claim; leaving it would block the key.
            self._record(release)
            return _unavailable("the log did not confirm the claim in time")
        try:
            async with asyncio.timeout_at(until_s):
                tail = self._partition(claim.key).tail
                await tail.catch_up(appended.offset + 1)
        except (PlatformUnavailableError, TimeoutError):
            self._record(release)
            return _unavailable("the log could not be read up to the claim in time")
        return None

    def _holds(self, own: OwnCall) -> bool:
        held = self._partition(own.claim.key).table.holder(own.claim.key)
        return held is not None and held.claim.claim_id == own.claim.claim_id

    def _too_late(self, own: OwnCall) -> Refusal | None:
        """Refuse to start a call whose caller has gone.

        A process can be paused for hours between its claim and this line. Nobody
        else may run the key, so starting would be safe, but useless; and after the
        window the key may be forgotten elsewhere. The runtime's clock may stand
        still while a machine is suspended, so Unix time is checked as well.
        """
        expired = asyncio.get_running_loop().time() >= own.deadline_s
        age_s = self._wall_s() - own.claim.at_s
        if expired or age_s > self._settings.start_limit_s:
            detail = "the deadline passed before the call was started"
            return Refusal(Reason.DEADLINE_EXCEEDED, True, detail)
        return None

    def _not_covered(self, own: OwnCall) -> Refusal | None:
        """Refuse a key that may have been claimed in records that have expired."""
        if own.issued_s is None:
            return None
        covered_s = self._partition(own.claim.key).table.covered_since_s
        if own.issued_s + self._settings.clock_error_s >= covered_s:
            return None
        detail = "the key is older than the records that the log has kept"
        return Refusal(Reason.KEY_EXPIRED, False, detail)

    async def _make_call(self, own: OwnCall, call: Call) -> None:
        """Make the one call and record how it ended."""
        key, claim_id = own.claim.key, own.claim.claim_id
        own.started = True
        try:
            result = await call()
        except Exception as error:  # noqa: BLE001 - whatever failed, it may have run
            result = Refusal(Reason.ENDPOINT_FAILED, False, type(error).__name__)
        if isinstance(result, ServiceAnswer):
            own.status = ClaimStatus.DONE
            self._record(self._outcome(own, result))
            own.done.set_result(result)
        elif result.not_run:
            self._record(Release(key, claim_id))
            self._give_up(own, result)
        else:
            own.status = ClaimStatus.OUTCOME_UNKNOWN
            self._record(Outcome(key, claim_id, known=False))
            own.done.set_result(_outcome_unknown(result.detail))

    def _outcome(self, own: OwnCall, answer: ServiceAnswer) -> Outcome:
        key, claim_id = own.claim.key, own.claim.claim_id
        if len(answer.body) > self._settings.kept_body_bytes:
            return Outcome(key, claim_id, known=True, status=answer.status)
        return Outcome(
            key, claim_id, True, True, answer.status, answer.headers, answer.body
        )

    def _give_up(self, own: OwnCall, refusal: Refusal) -> None:
        """Forget a claim that was not run; its task has ended, so it never will be."""
        del self._own[own.claim.key]
        own.done.set_result(refusal)

    async def _resolve(
        self, held: HeldClaim, fingerprint: str, deadline_s: float
    ) -> Result | None:
        """Answer a retry whose key was claimed before, here or elsewhere."""
        claim = held.claim
        if claim.fingerprint != fingerprint:
            return _reused()
        if self._wall_s() - claim.at_s > self._settings.window_s:
            return Refusal(Reason.KEY_EXPIRED, False, "the key is past its window")
        loop = asyncio.get_running_loop()
        settings = self._settings
        table = self._partition(claim.key).table
        while True:
            current = table.holder(claim.key)
            if current is None or current.claim.claim_id != claim.claim_id:
                return None
            result = await self._answer_of(current)
            if result is not None:
                return result
            if loop.time() >= deadline_s:
                return self._unresolved(current)
            left_s = deadline_s - loop.time()
            await asyncio.sleep(max(SHORTEST_POLL_S, min(settings.poll_s, left_s)))
            await self._refresh(partition_of(claim.key, self._settings.partitions))

    def _unresolved(self, held: HeldClaim) -> Refusal:
        """Refuse a retry when the time is up and nobody could say more."""
        if self._gave_up(held):
            return _unavailable("the release of an earlier claim is not in the log yet")
        return _in_progress()

    def _is_own(self, claim: Claim) -> bool:
        return (claim.owner, claim.incarnation) == (self._name, self._incarnation)

    def _gave_up(self, held: HeldClaim) -> bool:
        """Tell whether this process holds a key that it never ran nor will run."""
        forgotten = held.claim.key not in self._own
        return self._is_own(held.claim) and held.outcome is None and forgotten

    async def _answer_of(self, held: HeldClaim) -> Result | None:
        """Return the answer of a claim that is in the log; None to ask again."""
        claim, outcome = held.claim, held.outcome
        if outcome is not None and not outcome.known:
            return _outcome_unknown("the endpoint gave no answer")
        if outcome is not None and outcome.answer_kept:
            return await self._kept_answer(held)
        if self._is_own(claim):
            return None if outcome is None else _answer_dropped()
        answer = None
        if claim.owner != self._name:
            answer = await self._query(claim)
        if answer is not None and answer.incarnation == claim.incarnation:
            return self._from_owner(answer, outcome)
        gone = answer is not None or self._is_gone(claim.owner, claim.incarnation)
        if gone and not await self._changed(held):
            return _outcome_unknown("the owner of the call is gone")
        return None

    def _from_owner(
        self, answer: ClaimAnswer, outcome: Outcome | None
    ) -> Result | None:
        match answer.status:
            case ClaimStatus.DONE:
                return ServiceAnswer(answer.http_status, answer.headers, answer.body)
            case ClaimStatus.OUTCOME_UNKNOWN:
                return _outcome_unknown("the endpoint gave no answer")
            case ClaimStatus.NOT_HELD if outcome is not None:
                return _answer_dropped()
        return None

    async def _kept_answer(self, held: HeldClaim) -> ServiceAnswer | None:
        """Read an answer back from the log."""
        stream = self._partition(held.claim.key).tail.stream
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                entries = await self._log.read(stream, held.outcome_offset, 1)
        except (PlatformUnavailableError, OffsetExpiredError, TimeoutError):
            return None
        for record in _records(entries):
            if isinstance(record, Outcome) and record.claim_id == held.claim.claim_id:
                return ServiceAnswer(record.status, record.headers, record.body)
        return None

    async def _changed(self, held: HeldClaim) -> bool:
        """Read on, since an owner that has gone may have left its outcome."""
        number = partition_of(held.claim.key, self._settings.partitions)
        before = held.outcome
        tail = self._partition(held.claim.key).tail
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                await tail.catch_up_to_end()
        except (PlatformUnavailableError, TimeoutError):
            return False
        self._writer.note_end(claims_stream(number), tail.next_offset)
        current = self._partition(held.claim.key).table.holder(held.claim.key)
        return current is not held or current.outcome is not before

    async def _query(self, claim: Claim) -> ClaimAnswer | None:
        self._queries += 1
        query_id = f"{self._name}/{self._incarnation}/{self._queries}"
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                return await self._ask_owner(
                    claim.owner, ClaimQuery(query_id, claim.key)
                )
        except TimeoutError:
            return None

    def _partition(self, key: str) -> ClaimPartition:
        return self._open(partition_of(key, self._settings.partitions))

    def _open(self, number: int) -> ClaimPartition:
        partition = self._partitions.get(number)
        if partition is None:
            table = ClaimTable(self._settings.remembered_s)
            tail = LogTail(
                self._log,
                claims_stream(number),
                table.offer,
                table.note_gap,
                self._random,
                self._writer.health,
            )
            partition = ClaimPartition(table, tail)
            self._partitions[number] = partition
        return partition

    def _appended(self, stream: str, offset: int, payload: bytes) -> None:
        """Fold what this process appended without reading it back, if it can."""
        for partition in self._partitions.values():
            if partition.tail.stream == stream:
                partition.tail.accept(LogEntry(offset, payload))

    async def _refresh(self, number: int) -> None:
        """Read a partition to its end, if the log lets it."""
        tail = self._open(number).tail
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                await tail.catch_up_to_end()
        except (PlatformUnavailableError, TimeoutError):
            return
        self._writer.note_end(tail.stream, tail.next_offset)

    def _record(self, record: ClaimRecord) -> None:
        """Have a record appended, however long that takes."""
        self._unsent.append(record)
        self._resend()

    def _resend(self) -> None:
        while self._unsent:
            record = self._unsent[0]
            number = partition_of(record.key, self._settings.partitions)
            item = encode_claim_record(record)
            try:
                self._writer.submit(claims_stream(number), item, Priority.CLAIM)
            except LogQueueFullError:
                return
            self._unsent.popleft()

    def _forget_own(self) -> None:
        """Drop the oldest answers whose outcomes are in the log."""
        surplus = len(self._own) - self._settings.kept_answers
        for key, own in list(self._own.items()):
            if surplus <= 0:
                return
            held = self._partition(key).table.holder(key)
            if own.done.done() and (held is None or held.outcome is not None):
                del self._own[key]
                surplus -= 1

    def _new_id(self) -> str:
        return f"{self._random.getrandbits(CLAIM_ID_BITS):016x}"


def _records(entries: list[LogEntry]) -> Iterator[ClaimRecord]:
    """Read the records of entries that were folded once already."""
    for entry in entries:
        for item in decode_batch(entry.payload).items:
            with suppress(MalformedMessageError):
                yield decode_claim_record(item)


def _unavailable(detail: str) -> Refusal:
    return Refusal(Reason.CLAIM_UNAVAILABLE, True, detail, RETRY_LATER_S)


def _outcome_unknown(detail: str) -> Refusal:
    return Refusal(Reason.OUTCOME_UNKNOWN, False, detail)


def _answer_dropped() -> Refusal:
    return _outcome_unknown("the call has finished; its answer is no longer kept")


def _in_progress() -> Refusal:
    detail = "an earlier attempt with this key is still running"
    return Refusal(Reason.IN_PROGRESS, False, detail, RETRY_LATER_S)


def _reused() -> Refusal:
    detail = "the key was used for another request"
    return Refusal(Reason.KEY_REUSED, True, detail)
