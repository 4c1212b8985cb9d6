"""The task that reads ratings, publishes estimates and decides on versions."""

import asyncio
from contextlib import suppress

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.adapters.rating_service import RatingService
from acaciacove.daemon.decision_log import log_event
from acaciacove.daemon.evaluators import evaluator_names
from acaciacove.daemon.evidence_cells import from_message_cells
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.estimates_record import (
    ESTIMATES_STREAM,
    EstimatesRecord,
    decode_estimates,
)
from acaciacove.errors import LogQueueFullError, MalformedMessageError
from acaciacove.errors import PlatformUnavailableError as Unavailable
from acaciacove.messages.evidence import Evidence
from acaciacove.state.batch_codec import decode_batch
from acaciacove.state.priority import Priority
from acaciacove.state.record import RELEASE_STREAM
from acaciacove.state.record_codec import encode_record

POLL_INTERVAL_S = 0.5
READ_LIMIT = 500


async def monitor_quality(entry: EntryState, ratings: RatingService | None) -> None:
    """Read ratings and decide on versions while this entry is responsible for it."""
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        instances = entry.shared.membership.usable()
        if entry.settings.name not in evaluator_names(instances, entry.settings.name):
            continue
        if ratings is not None:
            with suppress(Unavailable):
                await _fetch_ratings(entry, ratings)
        with suppress(LogQueueFullError):
            _publish_estimates(entry)
            _append_decisions(entry)


def apply_estimates(entry: EntryState, entries: list[LogEntry]) -> None:
    """Merge published estimates into the ones that this entry routes by."""
    for log_entry in entries:
        for record in _decode_records(log_entry):
            entry.router.estimates.merge(record.quality)
            entry.quality_monitor.restore(record)


def _decode_records(log_entry: LogEntry) -> list[EstimatesRecord]:
    """Decode the records of a log entry; records of a later release are skipped."""
    found: list[EstimatesRecord] = []
    with suppress(MalformedMessageError):
        for item in decode_batch(log_entry.payload).items:
            found.append(decode_estimates(item))
    return found


def apply_evidence(entry: EntryState, evidence: Evidence) -> Evidence:
    """Merge a sidecar's evidence and return the window that it counts in."""
    entry.quality_monitor.apply_evidence(from_message_cells(evidence.cells))
    return Evidence(window=entry.quality_monitor.guard.window)


async def _fetch_ratings(entry: EntryState, ratings: RatingService) -> None:
    """Fetch the ratings that were added since the last poll."""
    while True:
        fetched = await ratings.fetch(entry.quality_monitor.sequence, READ_LIMIT)
        entry.quality_monitor.apply_ratings(fetched, entry.fleet_store.state)
        if len(fetched) < READ_LIMIT:
            return


def _publish_estimates(entry: EntryState) -> None:
    payload = entry.quality_monitor.due_estimates(asyncio.get_running_loop().time())
    if payload is not None:
        entry.shared.writer.submit(ESTIMATES_STREAM, payload, Priority.BILLING)


def _append_decisions(entry: EntryState) -> None:
    """Append new decisions to the release stream, where every process reads them."""
    for decision in entry.quality_monitor.new_decisions(entry.fleet_store.state):
        log_event("judge", record=decision, revision=entry.fleet_store.revision)
        payload = encode_record(decision)
        entry.shared.writer.submit(RELEASE_STREAM, payload, Priority.DECISION)
