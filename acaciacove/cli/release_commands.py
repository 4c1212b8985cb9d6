"""Commands that validate, compare, publish and show releases."""

from acaciacove.cli import (
    release_diff,
    release_publish,
    release_show,
    release_validate,
)
from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.cli.shared_flags import (
    JSON,
    LOG_URL,
    MAX_NOTE_BYTES,
    NOTE,
    OPERATOR,
    TIMEOUT,
)
from acaciacove.settings.diff_settings import DiffSettings
from acaciacove.settings.file_settings import FileSettings
from acaciacove.settings.publish_settings import PublishSettings
from acaciacove.settings.show_settings import ShowSettings

RELEASE_VALIDATE = Command(
    words=("release", "validate"),
    summary="List every fault in a release note.",
    help="""
        Checks a release note and lists every fault with its line and its path of
        keys. Nothing is published. With --log_url the names in the note are also
        checked against the release in force.

        Exit status: 0 without faults, 3 with faults.
    """,
    settings=FileSettings,
    run=release_validate.run,
    arguments=(NOTE,),
    flags=(LOG_URL, MAX_NOTE_BYTES, JSON),
)
RELEASE_DIFF = Command(
    words=("release", "diff"),
    summary="Show what a release note would add, change and withdraw.",
    help="""
        Compares a release note with the release in force. The output begins with the
        release revision that it was compared with; write it into the note as
        based_on, and the note is accepted only if nobody publishes in between.

        Exit status: 0, or 3 when the note has faults.
    """,
    settings=DiffSettings,
    run=release_diff.run,
    arguments=(NOTE,),
    flags=(LOG_URL, MAX_NOTE_BYTES, JSON),
)
RELEASE_PUBLISH = Command(
    words=("release", "publish"),
    summary="Put a release note in force.",
    help="""
        Checks a release note, appends it to the log, and reads the log back to tell
        whether it is in force or which note was first. A note is in force whole or
        not at all.

        The command may be repeated: a note whose id is in the log is not appended
        again, and what became of it is reported. Repeat it when the outcome is
        unknown.

        Exit status: 0 in force, 3 the note has faults, 4 another note was first,
        5 outcome unknown, 6 the log did not answer and nothing was appended.
    """,
    settings=PublishSettings,
    run=release_publish.run,
    arguments=(NOTE,),
    flags=(LOG_URL, OPERATOR, TIMEOUT, MAX_NOTE_BYTES, JSON),
)
RELEASE_SHOW = Command(
    words=("release", "show"),
    summary="Show what is in force, and the latest notes and decisions.",
    help="""
        Reads the log and prints the versions, organisations, availability zones out
        and instances out that are in force, then the latest records with the verdict
        on each.
    """,
    settings=ShowSettings,
    run=release_show.run,
    flags=(
        LOG_URL,
        Flag("history", "How many of the latest records to list.", "COUNT"),
        Flag("yaml", "Print what is in force as a release note in YAML."),
        JSON,
    ),
)
