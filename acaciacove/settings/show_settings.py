"""Settings of ``release show``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import at_least, check, is_url


@frozen
class ShowSettings(CheckedSettings):
    """The log to read, how many past records to list, and the output format."""

    log_url: str = field(metadata=check(is_url))
    history: int = field(default=10, metadata=check(at_least(0)))
    yaml: bool = False
    json: bool = False
