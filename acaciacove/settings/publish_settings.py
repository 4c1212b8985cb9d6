"""Settings of ``release publish``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check, is_positive, is_url
from acaciacove.settings.file_settings import MAX_NOTE_BYTES


@frozen
class PublishSettings(CheckedSettings):
    """The file of a release note, the log to append it to, and the time-out.

    ``timeout_s`` limits how long the command tries to append the note. After that the
    outcome may be unknown.
    """

    file: str = field()
    log_url: str = field(metadata=check(is_url))
    operator: str = ""
    timeout_s: float = field(default=30.0, metadata=check(is_positive))
    max_note_bytes: int = field(default=MAX_NOTE_BYTES, metadata=check(at_least(1)))
    json: bool = False
