"""``acaciacove release diff``: shows what a note would change."""

from acaciacove.cli.history import fetch_history
from acaciacove.cli.note_file import read_note_file
from acaciacove.cli.output import print_json
from acaciacove.cli.state_difference import StateDifference, difference
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.release_format.check_note import check_note
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.read_note import read_note
from acaciacove.settings.diff_settings import DiffSettings


def run(settings: DiffSettings, env: Environment) -> ExitStatus:
    """Print what a release note adds, changes and withdraws."""
    data = read_note_file(settings.file, settings.max_note_bytes, env)
    document = read_note(data, settings.max_note_bytes)
    state = fetch_history(settings.log_url, env).state
    faults = check_note(document, state)
    if faults:
        raise InvalidNoteError(faults)
    comparison = difference(document, state)
    if settings.json:
        print_json(comparison.as_json(), env)
    else:
        _print(comparison, env)
    return ExitStatus.SUCCESS


def _print(comparison: StateDifference, env: Environment) -> None:
    """Print one line for each name and each field."""
    env.print(f"against release revision {comparison.release_revision}")
    for name in comparison.added:
        env.print(f"+ {name}")
    for name, changes in comparison.changed.items():
        env.print(f"~ {name}")
        for field_name, (before, after) in changes.items():
            env.print(f"    {field_name}: {before} -> {after}")
    for name in comparison.withdrawn:
        env.print(f"- {name}")
    for name in comparison.lifted:
        env.print(f"! ends the {name}")
    for name in comparison.unchanged:
        env.print(f"= {name} is declared as it is in force")
