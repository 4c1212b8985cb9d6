"""Follows one stream of the log: the newest of each key, then what comes."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define

from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_DOUBLINGS = 8
# The shortest wait after a record, as a share of the usual one.
MIN_WAIT_SHARE = 0.2


@define(eq=False)
class FollowedStream:
    """What a follower does with its stream.

    ``wait_s`` tells how long the log may hold a read that finds nothing,
    ``pause_s`` tells how long the follower rests between reads, so that many small
    records come in one answer, ``retry_s`` how long at most after a call that failed.
    ``on_reading`` gets each successful look.
    ``failing_since_boot_s`` is since when calls fail; None while they succeed.
    """

    stream: LogStream
    wait_s: Callable[[], float]
    pause_s: Callable[[], float]
    retry_s: Callable[[], float]
    on_reading: Callable[[LogReading], None]
    next_offset: int = -1
    next_wait_s: float = 0.0
    failing_since_boot_s: float | None = None


async def follow_log(
    followed: FollowedStream,
    metadata: MetadataLog,
    log: EventLog,
    clock_s: Callable[[], float],
    random: Random,
) -> None:
    """Follow a stream until cancelled."""
    failures = 0
    while True:
        try:
            reading = await _read_once(followed, metadata, clock_s, random)
        except OffsetExpiredError:
            followed.next_offset = -1
            continue
        except PlatformUnavailableError as error:
            failures += 1
            if failures == 1:
                log.write(
                    Event.LOG_LOST, stream=followed.stream.value, detail=str(error)
                )
            doublings = min(failures, MAX_BACKOFF_DOUBLINGS)
            await asyncio.sleep(
                min(followed.retry_s(), INITIAL_BACKOFF_S * 2**doublings)
            )
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


async def _read_once(
    followed: FollowedStream,
    metadata: MetadataLog,
    clock_s: Callable[[], float],
    random: Random,
) -> LogReading:
    """Read a page and hand it on."""
    requested_boot_s = clock_s()
    is_snapshot = followed.next_offset < 0
    wait_s = 0.0 if is_snapshot else _wait_s(followed)
    try:
        if is_snapshot:
            page = await metadata.newest(followed.stream)
        else:
            page = await metadata.read(followed.stream, followed.next_offset, wait_s)
    except PlatformUnavailableError:
        _record_failure(followed, requested_boot_s + wait_s, clock_s())
        raise
    reading = LogReading(
        page=page,
        is_snapshot=is_snapshot,
        failing_since_boot_s=followed.failing_since_boot_s,
        requested_boot_s=requested_boot_s,
        complete_boot_s=_complete_as_of(page, requested_boot_s, wait_s, clock_s()),
    )
    followed.failing_since_boot_s = None
    followed.on_reading(reading)
    # One record ends the waits of all gateways at once. Reads that go on in step
    # would all be as old when the log goes away; drawn apart, one of them is
    # fresh, and the others learn it from their peers.
    followed.next_wait_s = 0.0
    if page.records:
        followed.next_wait_s = random.uniform(MIN_WAIT_SHARE, 1.0) * followed.wait_s()
    followed.next_offset = page.next_offset
    return reading


def _wait_s(followed: FollowedStream) -> float:
    """Return how long to be held: not at all while it is open whether the log is there.

    A call that the log takes and never answers would hide its return for that long.
    """
    if followed.failing_since_boot_s is not None:
        return 0.0
    return followed.next_wait_s or followed.wait_s()


def _record_failure(
    followed: FollowedStream, due_boot_s: float, now_boot_s: float
) -> None:
    """Note since when calls fail: an answer was due, or a failure was told, by then."""
    if followed.failing_since_boot_s is None:
        followed.failing_since_boot_s = min(due_boot_s, now_boot_s)


def _complete_as_of(
    page: LogPage, requested_boot_s: float, wait_s: float, now_boot_s: float
) -> float:
    """Return a moment at which the log held no more than what was read.

    A read that comes back empty was held for its whole wait: the log looked once
    more at its end. One that comes back earlier proves only what held when it was
    asked. A page that another gateway told says it itself.
    """
    if page.complete_after_s is not None:
        return requested_boot_s + page.complete_after_s
    if page.records or now_boot_s < requested_boot_s + wait_s:
        return requested_boot_s
    return requested_boot_s + wait_s
