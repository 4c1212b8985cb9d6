"""Append a record at most once, although replies of the log get lost."""

import asyncio
from contextlib import suppress

from acaciacove.cli.append_outcome import AppendOutcome
from acaciacove.cli.history import History, catch_up
from acaciacove.cli.record_summary import record_id
from acaciacove.errors import PlatformUnavailableError
from acaciacove.platform.platform_log import PlatformLog
from acaciacove.state.record import RELEASE_STREAM, Record
from acaciacove.state.record_codec import encode_record


async def append_once(
    history: History,
    log: PlatformLog,
    record: Record,
    timeout_s: float,
    retry_delay_s: float,
) -> AppendOutcome:
    """Append a record and read back what the reducer made of it.

    A lost reply does not tell whether the record is in the log. Appending again
    blindly would put it in twice, and the second copy of a release note would be
    refused as stale, so that its operator is told of a lost race against himself.
    The log is therefore read to its end for the record's id before any repeat.
    """
    repeated = history.find(record_id(record))
    if repeated is not None:
        return AppendOutcome(repeated, repeated=True)
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            return await _append_until_found(history, log, record, retry_delay_s)
    return AppendOutcome(None)


async def _append_until_found(
    history: History, log: PlatformLog, record: Record, retry_delay_s: float
) -> AppendOutcome:
    """Append, read back, and append again only if it is surely not there."""
    while True:
        with suppress(PlatformUnavailableError):
            await log.append(RELEASE_STREAM, encode_record(record))
        await _catch_up_at_last(history, log, retry_delay_s)
        found = history.find(record_id(record))
        if found is not None:
            return AppendOutcome(found)
        await asyncio.sleep(retry_delay_s)
        await _catch_up_at_last(history, log, retry_delay_s)
        found = history.find(record_id(record))
        if found is not None:
            return AppendOutcome(found)


async def _catch_up_at_last(
    history: History, log: PlatformLog, retry_delay_s: float
) -> None:
    """Read to the end of the stream, however often the log fails meanwhile."""
    while True:
        try:
            await catch_up(history, log)
        except PlatformUnavailableError:
            await asyncio.sleep(retry_delay_s)
        else:
            return
