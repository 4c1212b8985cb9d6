"""The task that learns from ratings, and shares and judges what was learned."""

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

LOOK_S = 0.5
READ_LIMIT = 500


async def learn(entry: EntryState, ratings: RatingService | None) -> None:
    """Read ratings while this entry has the duty, and judge what they say."""
    while True:
        await asyncio.sleep(LOOK_S)
        instances = entry.shared.membership.usable()
        if entry.settings.name not in evaluator_names(instances, entry.settings.name):
            continue
        if ratings is not None:
            with suppress(Unavailable):
                await _read(entry, ratings)
        with suppress(LogQueueFullError):
            _publish(entry)
            _judge(entry)


def take_estimates(entry: EntryState, entries: list[LogEntry]) -> None:
    """Merge published estimates into the ones that this entry chooses by."""
    for log_entry in entries:
        for record in _records(log_entry):
            entry.router.estimates.merge(record.quality)
            entry.learner.restore(record)


def _records(log_entry: LogEntry) -> list[EstimatesRecord]:
    """Read what can be read; a record of a later release is passed over."""
    found: list[EstimatesRecord] = []
    with suppress(MalformedMessageError):
        for item in decode_batch(log_entry.payload).items:
            found.append(decode_estimates(item))
    return found


def take_evidence(entry: EntryState, evidence: Evidence) -> Evidence:
    """Count what a sidecar saw, and tell it the window to count in."""
    entry.learner.take_evidence(from_message_cells(evidence.cells))
    return Evidence(window=entry.learner.guard.window)


async def _read(entry: EntryState, ratings: RatingService) -> None:
    """Fetch the ratings that came since the last look."""
    while True:
        fetched = await ratings.fetch(entry.learner.sequence, READ_LIMIT)
        entry.learner.take_ratings(fetched, entry.holder.state)
        if len(fetched) < READ_LIMIT:
            return


def _publish(entry: EntryState) -> None:
    payload = entry.learner.due_record(asyncio.get_running_loop().time())
    if payload is not None:
        entry.shared.writer.submit(ESTIMATES_STREAM, payload, Priority.BILLING)


def _judge(entry: EntryState) -> None:
    """Append what follows from the evidence; every process reads it there."""
    for judgement in entry.learner.judgements(entry.holder.state):
        log_event("judge", record=judgement, revision=entry.holder.revision)
        payload = encode_record(judgement)
        entry.shared.writer.submit(RELEASE_STREAM, payload, Priority.DECISION)
