"""Appends a record at most once and reads back the reducer's verdict on it."""

import asyncio
from contextlib import suppress
from random import Random

from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.cli.append_outcome import AppendOutcome
from acaciacove.cli.history import History, catch_up
from acaciacove.cli.record_summary import record_id
from acaciacove.daemon.background import background
from acaciacove.errors import PlatformUnavailableError
from acaciacove.state.append_result import AppendResult
from acaciacove.state.append_state import AppendState
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings
from acaciacove.state.priority import Priority
from acaciacove.state.record import RELEASE_STREAM, Record
from acaciacove.state.record_codec import encode_record

WRITER_NAME = "operator"
READ_BACK_S = 5.0
RETRY_DELAY_S = 0.25


async def append_once(
    history: History, log: PlatformLog, record: Record, timeout_s: float, random: Random
) -> AppendOutcome:
    """Append a record unless its id is in the log; raises PlatformUnavailableError.

    An operator who does not know the outcome of a command runs it again. Without
    the look-up by id this would append a second copy. The reducer would reject a
    second release note as stale, and the command would report a lost race although
    the first copy is in force. The error means that nothing was appended and that
    no append is pending.
    """
    repeated = history.find(record_id(record))
    if repeated is not None:
        return AppendOutcome(repeated, repeated=True)
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    result = await _append(history, log, record, deadline_s, random)
    if result.state is AppendState.NOT_APPENDED:
        raise PlatformUnavailableError(
            f"nothing was appended to stream {RELEASE_STREAM}"
        )
    with suppress(TimeoutError):
        async with asyncio.timeout(READ_BACK_S):
            await _catch_up_with_retries(history, log)
    return AppendOutcome(history.find(record_id(record)))


async def _append(
    history: History,
    log: PlatformLog,
    record: Record,
    deadline_s: float,
    random: Random,
) -> AppendResult:
    """Append with a log writer, which finds its record after a lost reply."""
    writer = LogWriter(log, WRITER_NAME, 0, LogWriterSettings(), random)
    writer.record_end(RELEASE_STREAM, history.next_offset)
    async with background(writer.run()):
        return await writer.append(
            RELEASE_STREAM, encode_record(record), Priority.DECISION, deadline_s
        )


async def _catch_up_with_retries(history: History, log: PlatformLog) -> None:
    """Read to the end of the stream and retry whenever the log is unavailable."""
    while True:
        try:
            await catch_up(history, log)
        except PlatformUnavailableError:
            await asyncio.sleep(RETRY_DELAY_S)
        else:
            return
