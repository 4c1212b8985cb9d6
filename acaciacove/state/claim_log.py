"""The claims streams of one process: partitions read, records appended."""

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from random import Random

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.errors import (
    LogQueueFullError,
    MalformedMessageError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
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
from acaciacove.state.claim_refusals import claim_unavailable
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.claim_table import ClaimTable
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.log_status import LogStatus
from acaciacove.state.log_tail import LogTail
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.outcome import Outcome
from acaciacove.state.priority import Priority
from acaciacove.state.release import Release
from acaciacove.state.rendezvous import partition_of


class ClaimLog:
    """Tables of the partitions that this process has met, and the way to the log."""

    def __init__(
        self,
        log: PlatformLog,
        writer: LogWriter,
        settings: ClaimSettings,
        random: Random,
    ) -> None:
        """Take what it works with; nothing is read before it is needed."""
        self._log = log
        self._writer = writer
        self._settings = settings
        self._random = random
        self._partitions: dict[int, ClaimPartition] = {}
        self._unsent: deque[ClaimRecord] = deque()
        self._settling = 0
        writer.add_listener(self._appended)

    def table(self, key: str) -> ClaimTable:
        """Return the table of a key's partition, as far as it was read."""
        return self._open(self._number(key)).table

    def holder(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key, as far as was read."""
        return self.table(key).holder(key)

    async def settle(self, claim: Claim, until_s: float) -> Refusal | None:
        """Append a claim and read up to it; a refusal when that takes too long.

        A refused claim is released, should it be in the log all the same. While the
        log is down one claim at a time finds out whether it is back. Were all of
        them to wait, they would hold their places at the endpoint for seconds each,
        and calls that need no claim would queue behind them.
        """
        down = self._writer.health.status is LogStatus.DOWN
        if down and self._settling > 0:
            return claim_unavailable("the log is down")
        self._settling += 1
        try:
            return await self._settle(claim, until_s)
        finally:
            self._settling -= 1

    async def _settle(self, claim: Claim, until_s: float) -> Refusal | None:
        stream = claims_stream(self._number(claim.key))
        item = encode_claim_record(claim)
        try:
            appended = await self._writer.append(stream, item, Priority.CLAIM, until_s)
        except LogQueueFullError as error:
            return claim_unavailable(str(error))
        if appended.state is AppendState.NOT_APPENDED:
            return claim_unavailable("the log took no claim in time")
        release = Release(claim.key, claim.claim_id)
        if not appended.appended:
            # The claim may be in the log without an answer. Running on it could
            # follow somebody else's earlier claim; leaving it would block the key.
            self.record(release)
            return claim_unavailable("the log did not confirm the claim in time")
        try:
            async with asyncio.timeout_at(until_s):
                tail = self._open(self._number(claim.key)).tail
                await tail.catch_up(appended.offset + 1)
        except (PlatformUnavailableError, TimeoutError):
            self.record(release)
            return claim_unavailable("the log could not be read up to the claim")
        return None

    async def read_on(self, key: str) -> bool:
        """Read a key's partition to its end; false when the log does not answer."""
        return await self.refresh(self._number(key))

    async def refresh(self, number: int) -> bool:
        """Read a partition to its end; false when the log does not answer."""
        tail = self._open(number).tail
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                await tail.catch_up_to_end()
        except (PlatformUnavailableError, TimeoutError):
            return False
        self._writer.record_end(tail.stream, tail.next_offset)
        return True

    def forget(self, wall_s: float) -> None:
        """Drop keys past their time from every table."""
        for partition in self._partitions.values():
            partition.table.forget(wall_s)

    def record(self, record: ClaimRecord) -> None:
        """Have a record appended, however long that takes."""
        self._unsent.append(record)
        self.resend()

    def resend(self) -> None:
        """Hand records over for which the writer had no room."""
        while self._unsent:
            record = self._unsent[0]
            stream = claims_stream(self._number(record.key))
            item = encode_claim_record(record)
            try:
                # A record that follows a call is in nobody's way. Sent at once it
                # would hold up the next claim for a trip to the log.
                linger_s = self._settings.record_linger_s
                self._writer.submit(stream, item, Priority.CLAIM, linger_s)
            except LogQueueFullError:
                return
            self._unsent.popleft()

    async def flush(self, deadline_s: float) -> bool:
        """Wait until every record is in the log; false at the deadline."""
        self.resend()
        return await self._writer.flush(deadline_s) and not self._unsent

    async def kept_answer(self, held: HeldClaim) -> ServiceAnswer | None:
        """Read an answer back from the log."""
        stream = claims_stream(self._number(held.claim.key))
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                entries = await self._log.read(stream, held.outcome_offset, 1)
        except (PlatformUnavailableError, OffsetExpiredError, TimeoutError):
            return None
        for record in _records(entries):
            if isinstance(record, Outcome) and record.claim_id == held.claim.claim_id:
                return ServiceAnswer(record.status, record.headers, record.body)
        return None

    def _number(self, key: str) -> int:
        return partition_of(key, self._settings.partitions)

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


def _records(entries: list[LogEntry]) -> Iterator[ClaimRecord]:
    """Read the records of entries that were folded once already."""
    for entry in entries:
        for item in decode_batch(entry.payload).items:
            with suppress(MalformedMessageError):
                yield decode_claim_record(item)
