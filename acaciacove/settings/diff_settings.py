"""Settings of ``release diff``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check, is_url
from acaciacove.settings.file_settings import MAX_NOTE_BYTES


@frozen
class DiffSettings(CheckedSettings):
    """The file of a release note, and the log that holds the release in force."""

    file: str = field()
    log_url: str = field(metadata=check(is_url))
    max_note_bytes: int = field(default=MAX_NOTE_BYTES, metadata=check(at_least(1)))
    json: bool = False
