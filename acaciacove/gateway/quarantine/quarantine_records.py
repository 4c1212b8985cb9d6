"""Restores quarantined and suspected requests from the platform's log and writes them.

Without these records a restart of all gateways would lose track of the requests that
crash endpoints, and as many endpoints would crash again.
"""

import asyncio
import time

from acaciacove.errors import MalformedMessageError, PlatformUnavailableError
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.quarantine.request_guard import RequestGuard
from acaciacove.gateway.quarantine.request_record import (
    decode_record,
    encode_record,
    record_key,
)

RETRY_INTERVAL_S = 0.5
TOMBSTONE = b""


async def sync_records(
    guard: RequestGuard, metadata: MetadataLog, log: EventLog
) -> None:
    """Restore the records of the log, then write changes, until cancelled."""
    await _restore(guard, metadata, log)
    while True:
        await guard.has_pending_records.wait()
        guard.has_pending_records.clear()
        while guard.pending_records:
            await _write_oldest(guard, metadata)


async def _restore(guard: RequestGuard, metadata: MetadataLog, log: EventLog) -> None:
    while True:
        try:
            page = await metadata.newest(LogStream.QUARANTINE)
            break
        except PlatformUnavailableError:
            # Not logged here, as the readers of decisions log the outage. Peers
            # gossip their verdicts in the meantime.
            await asyncio.sleep(RETRY_INTERVAL_S)
    for record in page.records:
        _restore_record(guard, record, log)


def _restore_record(guard: RequestGuard, record: LogRecord, log: EventLog) -> None:
    if record.value is None:
        return
    try:
        restored = decode_record(record.key, record.value)
    except MalformedMessageError as error:
        log.write(Event.RECORD_UNREADABLE, key=record.key, detail=str(error))
        return
    if restored.until_s > time.time():
        guard.restore(restored, asyncio.get_running_loop().time())
    else:
        guard.pending_records[restored.fingerprint] = None
        guard.has_pending_records.set()


async def _write_oldest(guard: RequestGuard, metadata: MetadataLog) -> None:
    fingerprint, record = next(iter(guard.pending_records.items()))
    value = encode_record(record) if record is not None else TOMBSTONE
    try:
        await metadata.append(
            LogStream.QUARANTINE, record_key(fingerprint), value, None
        )
    except PlatformUnavailableError:
        # An append without a reply may have taken effect; repeating it is harmless.
        await asyncio.sleep(RETRY_INTERVAL_S)
        return
    if guard.pending_records.get(fingerprint, record) is record:
        guard.pending_records.pop(fingerprint, None)
