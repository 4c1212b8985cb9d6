"""Settings of ``release publish``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check, is_positive, is_url
from acaciacove.settings.file_settings import MAX_NOTE_BYTES


@frozen
class PublishSettings(CheckedSettings):
    """A release note's file, the log that takes it, and how long to try.

    ``timeout_s`` bounds the whole command; ``retry_delay_s`` is the pause before
    the log is read again after it did not answer.
    """

    file: str = field()
    log_url: str = field(metadata=check(is_url))
    operator: str = ""
    timeout_s: float = field(default=30.0, metadata=check(is_positive))
    retry_delay_s: float = field(default=0.5, metadata=check(is_positive))
    max_note_bytes: int = field(default=MAX_NOTE_BYTES, metadata=check(at_least(1)))
    json: bool = False
