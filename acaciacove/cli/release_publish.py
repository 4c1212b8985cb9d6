"""``acaciacove release publish``: publishes a release note."""

import asyncio
from random import Random

from attrs import asdict, evolve

from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.cli.append_once import append_once
from acaciacove.cli.append_outcome import AppendOutcome
from acaciacove.cli.history import History, read_history
from acaciacove.cli.note_file import read_note_file
from acaciacove.cli.output import print_json
from acaciacove.cli.publish_report import PublishReport
from acaciacove.cli.record_summary import record_id
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.release_format.check_note import check_note
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.note_document import NoteDocument
from acaciacove.release_format.note_fault import NoteFault
from acaciacove.release_format.read_note import read_note
from acaciacove.settings.publish_settings import PublishSettings
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.verdict import Verdict


def run(settings: PublishSettings, env: Environment) -> ExitStatus:
    """Publish a note and print its outcome."""
    data = read_note_file(settings.file, settings.max_note_bytes, env)
    document = read_note(data, settings.max_note_bytes)
    report = asyncio.run(_publish(document, settings, env))
    if settings.json:
        print_json(asdict(report), env)
    else:
        env.print(_format_report(report))
    return exit_status(report)


async def _publish(
    document: NoteDocument, settings: PublishSettings, env: Environment
) -> PublishReport:
    async with env.open_log(settings.log_url) as log:
        return await publish(document, log, settings, env.random)


async def publish(
    document: NoteDocument, log: PlatformLog, settings: PublishSettings, random: Random
) -> PublishReport:
    """Check a note against the state in force, append it once, and read it back.

    Raises InvalidNoteError, and PlatformUnavailableError when nothing has been
    appended.
    """
    history = await read_history(log)
    earlier = history.find(document.note_id)
    if earlier is not None:
        _reject_reused_id(document, earlier.record, settings)
        return _report(document, history, AppendOutcome(earlier, repeated=True))
    if history.state.release_note_id == document.note_id:
        return _expired_report(document, history)
    faults = check_note(_without_base_revision(document), history.state)
    if faults:
        raise InvalidNoteError(faults)
    note = document.release_note(history.state.release_revision, settings.operator)
    outcome = await append_once(history, log, note, settings.timeout_s, random)
    return _report(document, history, outcome)


def exit_status(report: PublishReport) -> ExitStatus:
    """Return the exit status for the outcome of a note."""
    match report.verdict:
        case None:
            return ExitStatus.OUTCOME_UNKNOWN
        case Verdict.ACCEPTED:
            return ExitStatus.SUCCESS
        case Verdict.STALE_BASE:
            return ExitStatus.RACE_LOST
    return ExitStatus.ERROR


def _without_base_revision(document: NoteDocument) -> NoteDocument:
    """Drop the base revision: all readers go by the reducer's check for staleness."""
    return evolve(document, based_on=None)


def _reject_reused_id(
    document: NoteDocument, found: object, settings: PublishSettings
) -> None:
    """Raise InvalidNoteError if the id belongs to a record with other content.

    Treating the earlier note as this one would report changes as in force that
    were never appended.
    """
    if isinstance(found, ReleaseNote):
        expected = document.release_note(found.based_on, settings.operator)
        if evolve(expected, operator=found.operator) == found:
            return
    message = f"{document.note_id} is the id of another record in the log"
    raise InvalidNoteError([NoteFault(document.lines.get("note", 0), "note", message)])


def _report(
    document: NoteDocument, history: History, outcome: AppendOutcome
) -> PublishReport:
    in_force = history.state.release_revision
    found = outcome.found
    if found is None:
        detail = "no reply; publish the same file again to learn what became of it"
        return PublishReport(document.note_id, None, None, detail, in_force)
    beaten_by = ""
    if found.verdict is Verdict.STALE_BASE:
        beaten_by = _accepted_note_before(history, found.offset)
    return PublishReport(
        document.note_id,
        found.offset,
        found.verdict,
        found.detail,
        in_force,
        beaten_by,
        outcome.repeated,
    )


def _expired_report(document: NoteDocument, history: History) -> PublishReport:
    """Report on a note in force whose record has expired from the log."""
    in_force = history.state.release_revision
    detail = "its record has expired from the log"
    return PublishReport(
        document.note_id, in_force, Verdict.ACCEPTED, detail, in_force, repeated=True
    )


def _accepted_note_before(history: History, offset: int) -> str:
    """Return the id of the last note accepted before an offset."""
    winner = ""
    for entry in history.entries:
        accepted = entry.verdict is Verdict.ACCEPTED
        if entry.offset < offset and accepted and isinstance(entry.record, ReleaseNote):
            winner = record_id(entry.record)
    return winner


def _format_report(report: PublishReport) -> str:
    """Return the outcome of a note as one line of text."""
    if report.verdict is None:
        return f"{report.note_id}: outcome unknown, {report.detail}"
    earlier = " by an earlier run" if report.repeated else ""
    if report.verdict is Verdict.ACCEPTED:
        return f"{report.note_id}: in force from revision {report.offset}{earlier}"
    if report.verdict is Verdict.STALE_BASE:
        winner = report.beaten_by or "an earlier note"
        return (
            f"{report.note_id}: not accepted{earlier}, {winner} was first "
            f"({report.detail}); look at release diff and publish under a new id"
        )
    return f"{report.note_id}: not accepted{earlier}, {report.verdict} {report.detail}"
