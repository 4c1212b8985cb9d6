"""Settings of ``status``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import check, is_positive, is_url


@frozen
class StatusSettings(CheckedSettings):
    """Where to read the fleet, and how long one instance may take to answer."""

    log_url: str = field(metadata=check(is_url))
    instance_list_url: str = field(metadata=check(is_url))
    timeout_s: float = field(default=2.0, metadata=check(is_positive))
    json: bool = False
