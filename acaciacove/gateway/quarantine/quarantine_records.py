"""Reads requests that are held back from the platform's log, and writes them there.

Without it a loss of all gateways would forget which requests crash endpoints, and they
would crash as many again.
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
    """Take up what the log holds, then write what is new, until cancelled."""
    await _restore(guard, metadata, log)
    while True:
        await guard.has_pending_records.wait()
        guard.has_pending_records.clear()
        while guard.records:
            await _write_oldest(guard, metadata)


async def _restore(guard: RequestGuard, metadata: MetadataLog, log: EventLog) -> None:
    while True:
        try:
            page = await metadata.newest(LogStream.QUARANTINE)
            break
        except PlatformUnavailableError:
            # Said already by the followers of the decisions; other gateways tell
            # what they know in the meantime.
            await asyncio.sleep(RETRY_INTERVAL_S)
    for record in page.records:
        _restore_record(guard, record, log)


def _restore_record(guard: RequestGuard, record: LogRecord, log: EventLog) -> None:
    if record.value is None:
        return
    try:
        found = decode_record(record.key, record.value)
    except MalformedMessageError as error:
        log.write(Event.RECORD_UNREADABLE, key=record.key, detail=str(error))
        return
    if found.until_s > time.time():
        guard.restore(found, asyncio.get_running_loop().time())
    else:
        guard.records[found.fingerprint] = None
        guard.has_pending_records.set()


async def _write_oldest(guard: RequestGuard, metadata: MetadataLog) -> None:
    fingerprint, record = next(iter(guard.records.items()))
    value = encode_record(record) if record is not None else TOMBSTONE
    try:
        await metadata.append(
            LogStream.QUARANTINE, record_key(fingerprint), value, None
        )
    except PlatformUnavailableError:
        # An append without an answer may have been taken; the same again does no harm.
        await asyncio.sleep(RETRY_INTERVAL_S)
        return
    if guard.records.get(fingerprint, record) is record:
        guard.records.pop(fingerprint, None)
