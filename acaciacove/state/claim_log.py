"""Access of one process to the claims streams of the log."""

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
    """Reads the claims partitions that this process uses, and appends claim records."""

    def __init__(
        self,
        log: PlatformLog,
        writer: LogWriter,
        settings: ClaimSettings,
        random: Random,
    ) -> None:
        """Store the parameters; partitions are read when they are first needed."""
        self._log = log
        self._writer = writer
        self._settings = settings
        self._random = random
        self._partitions: dict[int, ClaimPartition] = {}
        self._unsubmitted: deque[ClaimRecord] = deque()
        self._pending_claims = 0
        writer.add_listener(self._on_appended)

    def table(self, key: str) -> ClaimTable:
        """Return the table of the key's partition, as far as it has been read."""
        return self._open_partition(self._partition_number(key)).table

    def holder(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key, as far as the partition has been read."""
        return self.table(key).holder(key)

    async def append_claim(self, claim: Claim, deadline_s: float) -> Refusal | None:
        """Append a claim and read up to it; return a refusal if that takes too long.

        A refused claim is released, in case it is in the log nevertheless. While the
        log is unavailable, only one claim at a time waits for its recovery. If all
        claims waited, each would occupy a slot of the endpoint for seconds, and
        calls that need no claim would queue behind them.
        """
        down = self._writer.health.status is LogStatus.DOWN
        if down and self._pending_claims > 0:
            return claim_unavailable("the log is down")
        self._pending_claims += 1
        try:
            return await self._append_and_read(claim, deadline_s)
        finally:
            self._pending_claims -= 1

    async def _append_and_read(self, claim: Claim, deadline_s: float) -> Refusal | None:
        stream = claims_stream(self._partition_number(claim.key))
        item = encode_claim_record(claim)
        try:
            result = await self._writer.append(stream, item, Priority.CLAIM, deadline_s)
        except LogQueueFullError as error:
            return claim_unavailable(str(error))
        if result.state is AppendState.NOT_APPENDED:
            return claim_unavailable("the log took no claim in time")
        release = Release(claim.key, claim.claim_id)
        if not result.appended:
            # The log did not respond, so the claim may have been appended. The call
            # must not run, since another process may have claimed the key earlier.
            # Without a release the claim could block the key.
            self.record(release)
            return claim_unavailable("the log did not confirm the claim in time")
        try:
            async with asyncio.timeout_at(deadline_s):
                tail = self._open_partition(self._partition_number(claim.key)).tail
                await tail.catch_up(result.offset + 1)
        except (PlatformUnavailableError, TimeoutError):
            self.record(release)
            return claim_unavailable("the log could not be read up to the claim")
        return None

    async def read_to_end(self, key: str) -> bool:
        """Read the key's partition to its end; false if the log does not respond."""
        return await self.refresh_partition(self._partition_number(key))

    async def refresh_partition(self, partition_number: int) -> bool:
        """Read a partition to its end; false if the log does not respond."""
        tail = self._open_partition(partition_number).tail
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                await tail.catch_up_to_end()
        except (PlatformUnavailableError, TimeoutError):
            return False
        self._writer.record_end(tail.stream, tail.next_offset)
        return True

    def remove_expired(self, wall_s: float) -> None:
        """Remove expired keys from all tables; ``wall_s`` is Unix time."""
        for partition in self._partitions.values():
            partition.table.remove_expired(wall_s)

    def record(self, record: ClaimRecord) -> None:
        """Append a record, with retries until the log accepts it."""
        self._unsubmitted.append(record)
        self.submit_pending()

    def submit_pending(self) -> None:
        """Submit queued records until the queue of the log writer is full."""
        while self._unsubmitted:
            record = self._unsubmitted[0]
            stream = claims_stream(self._partition_number(record.key))
            item = encode_claim_record(record)
            try:
                # No call waits for this record. If it were sent immediately, the next
                # claim would be delayed by one round trip to the log.
                linger_s = self._settings.record_linger_s
                self._writer.submit(stream, item, Priority.CLAIM, linger_s)
            except LogQueueFullError:
                return
            self._unsubmitted.popleft()

    async def flush(self, deadline_s: float) -> bool:
        """Wait until all records are in the log; false at the deadline."""
        self.submit_pending()
        return await self._writer.flush(deadline_s) and not self._unsubmitted

    async def read_answer(self, held: HeldClaim) -> ServiceAnswer | None:
        """Read a retained answer from the log; None if that fails."""
        stream = claims_stream(self._partition_number(held.claim.key))
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                entries = await self._log.read(stream, held.outcome_offset, 1)
        except (PlatformUnavailableError, OffsetExpiredError, TimeoutError):
            return None
        for record in _decode_records(entries):
            if isinstance(record, Outcome) and record.claim_id == held.claim.claim_id:
                return ServiceAnswer(record.status, record.headers, record.body)
        return None

    def _partition_number(self, key: str) -> int:
        return partition_of(key, self._settings.partitions)

    def _open_partition(self, partition_number: int) -> ClaimPartition:
        partition = self._partitions.get(partition_number)
        if partition is None:
            table = ClaimTable(self._settings.remembered_s)
            tail = LogTail(
                self._log,
                claims_stream(partition_number),
                table.offer,
                table.note_gap,
                self._random,
                self._writer.health,
            )
            partition = ClaimPartition(table, tail)
            self._partitions[partition_number] = partition
        return partition

    def _on_appended(self, stream: str, offset: int, payload: bytes) -> None:
        """Apply records of this process without reading them back, where possible."""
        for partition in self._partitions.values():
            if partition.tail.stream == stream:
                partition.tail.accept(LogEntry(offset, payload))


def _decode_records(entries: list[LogEntry]) -> Iterator[ClaimRecord]:
    """Yield the claim records of entries; malformed records are skipped."""
    for entry in entries:
        for item in decode_batch(entry.payload).items:
            with suppress(MalformedMessageError):
                yield decode_claim_record(item)
