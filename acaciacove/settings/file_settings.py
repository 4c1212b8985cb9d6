"""Settings of commands that read a release note from a file."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check, is_url_or_empty

MAX_NOTE_BYTES = 262_144


@frozen
class FileSettings(CheckedSettings):
    """The file of a release note (``-`` is standard input) and its size limit.

    With a ``log_url`` the note is also checked against the release in force.
    """

    file: str = field()
    log_url: str = field(default="", metadata=check(is_url_or_empty))
    max_note_bytes: int = field(default=MAX_NOTE_BYTES, metadata=check(at_least(1)))
    json: bool = False
