"""Restores quarantined and suspected requests from the platform's log and writes them.

Without these records a restart of all gateways would lose track of the requests that
crash endpoints, and as many endpoints would crash again. What the log lost when it
returned from a copy is therefore written again.
"""

import asyncio
import time

from acaciacove.daemon.background import background
from acaciacove.errors import MalformedMessageError, PlatformUnavailableError
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
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
# After a return of the log from a copy, gateways compare their records with the log one
# after the other, so that only the first writes what is missing.
SLOT_S = 0.2
TOMBSTONE = b""


async def sync_records(gateway: Gateway, metadata: MetadataLog) -> None:
    """Restore the records of the log, then write changes, until cancelled."""
    page = await _newest(metadata)
    for record in page.records:
        _restore_record(gateway.guard, record, gateway.log)
    async with background(
        _write_pending(gateway.guard, metadata),
        _compare_each_era(gateway, metadata, page.era),
    ):
        await asyncio.Event().wait()


async def _write_pending(guard: RequestGuard, metadata: MetadataLog) -> None:
    while True:
        await guard.has_pending_records.wait()
        guard.has_pending_records.clear()
        while guard.pending_records:
            await _write_oldest(guard, metadata)


async def _newest(metadata: MetadataLog) -> LogPage:
    while True:
        try:
            return await metadata.newest(LogStream.QUARANTINE)
        except PlatformUnavailableError:
            # Not logged here, as the readers of decisions log the outage. Peers
            # gossip their verdicts in the meantime.
            await asyncio.sleep(RETRY_INTERVAL_S)


async def _compare_each_era(gateway: Gateway, metadata: MetadataLog, era: int) -> None:
    """Compare the records with the log each time that it returns from a copy."""
    while True:
        await gateway.era.wait_beyond(era)
        await asyncio.sleep(SLOT_S * gateway.rank())
        page = await _newest(metadata)
        era = page.era
        now_s = asyncio.get_running_loop().time()
        found = set()
        for record in page.records:
            if record.value is not None:
                _restore_record(gateway.guard, record, gateway.log)
                found.add(record.key)
        gateway.guard.queue_lost_records(found, now_s)


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
