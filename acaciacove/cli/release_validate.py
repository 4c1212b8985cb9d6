"""``acaciacove release validate``: reports all faults of a release note."""

from attrs import asdict

from acaciacove.cli.history import fetch_history
from acaciacove.cli.note_file import read_note_file
from acaciacove.cli.output import print_json
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.fleet_state import NO_REVISION, FleetState
from acaciacove.release_format.check_note import check_note
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.note_document import NoteDocument
from acaciacove.release_format.note_fault import NoteFault
from acaciacove.release_format.read_note import read_note
from acaciacove.settings.file_settings import FileSettings


def run(settings: FileSettings, env: Environment) -> ExitStatus:
    """Check a note's syntax, and its names if the state in force is known."""
    faults: list[NoteFault] = []
    try:
        document = read_checked(settings, env)
    except InvalidNoteError as error:
        if not settings.json:
            raise
        faults = error.faults
    if settings.json:
        listed = [asdict(fault) for fault in faults]
        print_json({"valid": not faults, "faults": listed}, env)
        return ExitStatus.INVALID_NOTE if faults else ExitStatus.SUCCESS
    env.print(f"{document.note_id} has no faults{_skipped_checks(settings, document)}")
    return ExitStatus.SUCCESS


def read_checked(settings: FileSettings, env: Environment) -> NoteDocument:
    """Read and check a note; raises InvalidNoteError."""
    data = read_note_file(settings.file, settings.max_note_bytes, env)
    document = read_note(data, settings.max_note_bytes)
    state = _state_to_check(settings, document, env)
    faults = check_note(document, state) if state is not None else []
    if faults:
        raise InvalidNoteError(faults)
    return document


def _state_to_check(
    settings: FileSettings, document: NoteDocument, env: Environment
) -> FleetState | None:
    """Return the state in force, or None if it is not known."""
    if settings.log_url:
        return fetch_history(settings.log_url, env).state
    if document.based_on == NO_REVISION:
        return FleetState()
    return None


def _skipped_checks(settings: FileSettings, document: NoteDocument) -> str:
    """Return a remark on checks that were skipped, or an empty string."""
    if settings.log_url or document.based_on == NO_REVISION:
        return ""
    return "; names in force were not checked, --log_url was not given"
