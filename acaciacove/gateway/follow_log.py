"""Follows one stream of the log: first a snapshot, then new records."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define

from acaciacove.errors import (
    LogRestoredError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_era import LogEra
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_position import BEFORE_ALL, LogPosition, is_restoration
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_DOUBLINGS = 8
# The shortest wait after a page with records, as a share of the regular wait.
MIN_WAIT_SHARE = 0.2


@define(eq=False)
class FollowedStream:
    """One stream, the read position in it, and the timing of its reads.

    ``wait_s`` returns how long the log may hold a read that finds nothing. ``pause_s``
    returns the pause between reads, which lets many small records arrive in one page.
    ``retry_s`` returns the longest delay after a failed call. ``on_reading`` receives
    each successful read. ``failing_since_boot_s`` is when calls began to fail, None
    while they succeed. ``applied`` is the end of the newest page that was applied; the
    next read begins there unless ``is_lost`` is set.
    """

    stream: LogStream
    wait_s: Callable[[], float]
    pause_s: Callable[[], float]
    retry_s: Callable[[], float]
    on_reading: Callable[[LogReading], None]
    applied: LogPosition = BEFORE_ALL
    is_lost: bool = True
    next_wait_s: float = 0.0
    failing_since_boot_s: float | None = None

    @property
    def next_offset(self) -> int:
        """Where the next read begins; -1 for a snapshot."""
        return -1 if self.is_lost else self.applied.offset


async def follow_log(
    followed: FollowedStream,
    metadata: MetadataLog,
    era: LogEra,
    log: EventLog,
    clock_s: Callable[[], float],
    random: Random,
) -> None:
    """Follow a stream until cancelled."""
    failures = 0
    while True:
        if not followed.is_lost and followed.applied.era != era.current:
            # A call for another stream has seen that the log returned from a copy.
            _lose_position(followed, log, f"the log is in era {era.current} now")
        began_s = clock_s()
        try:
            reading = await _read_once(followed, metadata, era, clock_s, random)
        except (OffsetExpiredError, LogRestoredError) as error:
            _lose_position(followed, log, str(error))
            continue
        except PlatformUnavailableError as error:
            failures += 1
            if failures == 1:
                log.write(
                    Event.LOG_LOST,
                    stream=followed.stream.value,
                    offset=followed.next_offset,
                    detail=str(error),
                )
            else:
                log.write(
                    Event.LOG_STILL_LOST,
                    routine=True,
                    stream=followed.stream.value,
                    offset=followed.next_offset,
                    failures=failures,
                    detail=str(error),
                )
            doublings = min(failures, MAX_BACKOFF_DOUBLINGS)
            delay_s = min(followed.retry_s(), INITIAL_BACKOFF_S * 2**doublings)
            # Counted from the start of a silent call: a pause after its end would hide
            # the return of the log for as long.
            await asyncio.sleep(max(0.0, began_s + delay_s - clock_s()))
            continue
        if reading is None:
            log.write(
                Event.LOG_FAR_BEHIND,
                stream=followed.stream.value,
                offset=followed.next_offset,
            )
            followed.is_lost = True
            continue
        if failures:
            log.write(
                Event.LOG_REGAINED,
                stream=followed.stream.value,
                failures=failures,
                failed_s=round(reading.failed_s, 3),
            )
            failures = 0
        if not reading.page.is_relayed:
            await asyncio.sleep(followed.pause_s())


def _lose_position(followed: FollowedStream, log: EventLog, reason: str) -> None:
    """Continue with a snapshot."""
    log.write(
        Event.LOG_POSITION_LOST,
        stream=followed.stream.value,
        era=followed.applied.era,
        offset=followed.next_offset,
        detail=reason,
    )
    followed.is_lost = True


async def _read_once(
    followed: FollowedStream,
    metadata: MetadataLog,
    era: LogEra,
    clock_s: Callable[[], float],
    random: Random,
) -> LogReading | None:
    """Read one page and pass it to ``on_reading``; None if the page is partial.

    A partial page is not applied: it is the oldest part of a backlog that has mostly
    been superseded, and confirms nothing. Raises LogRestoredError if the page is of
    another history than the position: records before it are missing.
    """
    began_boot_s = clock_s()
    is_snapshot = followed.is_lost
    wait_s = 0.0 if is_snapshot else _wait_s(followed)
    try:
        if is_snapshot:
            page = await metadata.newest(followed.stream)
        else:
            page = await metadata.read(followed.stream, followed.next_offset, wait_s)
        if page.era < era.current:
            raise PlatformUnavailableError(
                f"got a page of era {page.era} of the log after one of {era.current}"
            )
    except PlatformUnavailableError:
        _record_failure(followed, began_boot_s + wait_s, clock_s())
        raise
    if not is_snapshot and page.era != followed.applied.era:
        raise LogRestoredError(followed.applied.era, page.era)
    if page.is_partial:
        return None
    if page.is_repeated:
        _record_failure(followed, began_boot_s + wait_s, clock_s())
        wait_s = 0.0
    requested_boot_s = began_boot_s + page.asked_after_s
    end = LogPosition(page.era, page.next_offset)
    reading = LogReading(
        page=page,
        is_snapshot=is_snapshot,
        failing_since_boot_s=followed.failing_since_boot_s,
        requested_boot_s=requested_boot_s,
        complete_boot_s=_complete_as_of(page, requested_boot_s, wait_s, clock_s()),
        is_restored=is_snapshot and is_restoration(followed.applied, end),
    )
    followed.failing_since_boot_s = None
    followed.on_reading(reading)
    # One record ends the waiting reads of all gateways at once. If their next reads
    # stayed in step, all views would be equally old when the log becomes unavailable.
    # Random waits spread them out: one view is then fresh, and the other gateways get
    # it from that peer.
    followed.next_wait_s = 0.0
    if page.records:
        followed.next_wait_s = random.uniform(MIN_WAIT_SHARE, 1.0) * followed.wait_s()
    followed.applied = end
    followed.is_lost = False
    return reading


def _wait_s(followed: FollowedStream) -> float:
    """Return how long the log may hold the next read.

    Zero while it is unknown whether the log is available: a log that accepts a call and
    never answers would otherwise hide its recovery for that long.
    """
    if followed.failing_since_boot_s is not None:
        return 0.0
    return followed.next_wait_s or followed.wait_s()


def _record_failure(
    followed: FollowedStream, due_boot_s: float, now_boot_s: float
) -> None:
    """Record when calls began to fail: now, or earlier if a reply was due."""
    if followed.failing_since_boot_s is None:
        followed.failing_since_boot_s = min(due_boot_s, now_boot_s)


def _complete_as_of(
    page: LogPage, requested_boot_s: float, wait_s: float, now_boot_s: float
) -> float:
    """Return a time at which the log held no more than what was read.

    A read that comes back empty after its whole wait is complete as of the end of that
    wait, when the log checked again for records. One that comes back earlier is
    complete only as of its request. A page relayed by another gateway carries its own
    time.
    """
    if page.complete_after_s is not None:
        return requested_boot_s + page.complete_after_s
    if page.records or now_boot_s < requested_boot_s + wait_s:
        return requested_boot_s
    return requested_boot_s + wait_s
