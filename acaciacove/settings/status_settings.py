"""Settings of ``status``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import check, is_positive, is_url


@frozen
class StatusSettings(CheckedSettings):
    """The platform services to read, and the time-out per instance."""

    log_url: str = field(metadata=check(is_url))
    instance_list_url: str = field(metadata=check(is_url))
    timeout_s: float = field(default=2.0, metadata=check(is_positive))
    json: bool = False
