"""Answers other gateways' requests for records of the log."""

import asyncio
from collections.abc import Callable, Mapping

from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.relay.relay_intervals import RelayIntervals
from acaciacove.gateway.relay.stream_tail import StreamTail
from acaciacove.messages.log_ask import LogAsk
from acaciacove.messages.log_told import LogTold
from acaciacove.messages.message import Message
from acaciacove.messages.told_record import ToldRecord
from acaciacove.wire.connection import Connection

# Records that may be relayed for no longer than this are not relayed: an empty reply
# without a wait would only lead to the same request again.
MIN_REMAINING_S = 0.01
# A request names a stream and an offset.
MAX_REQUEST_BYTES = 4_096

Tails = Mapping[LogStream, StreamTail]


async def serve_records(
    connection: Connection,
    tails: Tails,
    clock_s: Callable[[], float],
    intervals: RelayIntervals,
    log: EventLog,
) -> None:
    """Answer the requests on one connection until it closes.

    Records older than ``intervals`` allows are not relayed; the requester then reads
    the log itself.
    """
    try:
        while isinstance(request := await _receive(connection), LogAsk):
            tail = _tail_of(tails, request.stream)
            if tail is None:
                return
            is_endpoints = request.stream == LogStream.ENDPOINTS.value
            max_age_s = (
                intervals.max_endpoints_age_s
                if is_endpoints
                else intervals.max_relayed_age_s
            )
            await connection.send(await reply_to(request, tail, clock_s, max_age_s))
        if connection.fault is not None:
            log.write(Event.PEER_MESSAGE_UNREADABLE, detail=connection.fault)
    except ConnectionError:
        # The requester has closed the connection and needs no reply.
        return
    finally:
        connection.close()


async def _receive(connection: Connection) -> Message | None:
    return await connection.receive(max_bytes=MAX_REQUEST_BYTES)


def _tail_of(tails: Tails, name: str) -> StreamTail | None:
    """Return the tail of a stream, None if the stream is not relayed."""
    return next((t for stream, t in tails.items() if stream.value == name), None)


async def reply_to(
    request: LogAsk, tail: StreamTail, clock_s: Callable[[], float], max_age_s: float
) -> LogTold:
    """Hold a request until there are new records, then reply with what is known."""
    requested_boot_s = clock_s()
    tail.requested_boot_s = requested_boot_s
    remaining_s = max_age_s - (requested_boot_s - tail.complete_boot_s)
    is_fresh = remaining_s > MIN_REMAINING_S
    if is_fresh and tail.next_offset <= request.offset:
        # A request must not be held for longer than the records may be relayed.
        await _wait_for_change(tail, min(request.wait_s, remaining_s))
    now_boot_s = clock_s()
    known = is_fresh and tail.covers(request.offset, request.era)
    return LogTold(
        known=known,
        next_offset=tail.next_offset,
        held_s=now_boot_s - requested_boot_s,
        age_s=now_boot_s - tail.complete_boot_s,
        records=_newest_of_each_key(tail.since(request.offset)) if known else (),
        present_s=_available_s(tail, now_boot_s),
        era=tail.era,
    )


def _available_s(tail: StreamTail, now_boot_s: float) -> float | None:
    recovered_s = tail.recovered_boot_s
    return None if recovered_s is None else now_boot_s - recovered_s


async def _wait_for_change(tail: StreamTail, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            await tail.changed.wait()
    except TimeoutError:
        return


def _newest_of_each_key(records: tuple[LogRecord, ...]) -> tuple[ToldRecord, ...]:
    """Return the records that none of the others supersedes.

    A burst of changes of a large catalogue would otherwise make a reply of megabytes,
    which the requester's link cannot carry in time.
    """
    newest = {record.key: record for record in records}
    return tuple(map(_to_message, sorted(newest.values(), key=lambda r: r.offset)))


def _to_message(record: LogRecord) -> ToldRecord:
    return ToldRecord(
        key=record.key,
        value=record.value or b"",
        offset=record.offset,
        removed=record.value is None,
    )
