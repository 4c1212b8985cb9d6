"""Settings of ``release publish``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check, is_positive, is_url
from acaciacove.settings.file_settings import MAX_NOTE_BYTES


@frozen
class PublishSettings(CheckedSettings):
    """A release note's file, the log that takes it, and how long to try.

    ``timeout_s`` bounds how long the log is tried before the outcome is unknown.
    """

    file: str = field()
    log_url: str = field(metadata=check(is_url))
    operator: str = ""
    timeout_s: float = field(default=30.0, metadata=check(is_positive))
    max_note_bytes: int = field(default=MAX_NOTE_BYTES, metadata=check(at_least(1)))
    json: bool = False
