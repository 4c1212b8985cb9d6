"""Settings of ``load``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import (
    at_least,
    check,
    is_positive,
    is_share,
    is_url,
)


@frozen
class LoadSettings(CheckedSettings):
    """What callers send, to whom, and for how long.

    ``entry_url`` is one entry or the balancer. ``callers`` send one request after
    another until ``requests`` were sent in all or ``seconds`` are over. A
    ``chat_share`` of them goes to ``chat_api`` (an API or ``model@version``), the
    rest are calls of ``service_path`` of ``service_api`` with a fresh key each.
    ``check_text`` compares answers with the text that stand-ins generate.
    """

    entry_url: str = field(metadata=check(is_url))
    token: str = ""
    chat_api: str = "guide"
    service_api: str = "bookings"
    service_path: str = "/shuttles"
    callers: int = field(default=8, metadata=check(at_least(1)))
    requests: int = field(default=1000, metadata=check(at_least(1)))
    seconds: float = field(default=60.0, metadata=check(is_positive))
    chat_share: float = field(default=1.0, metadata=check(is_share))
    stream_share: float = field(default=1.0, metadata=check(is_share))
    max_tokens: int = field(default=32, metadata=check(at_least(1)))
    prompt_words: int = field(default=20, metadata=check(at_least(1)))
    timeout_s: float = field(default=30.0, metadata=check(is_positive))
    check_text: bool = False
    seed: int = 1
    json: bool = False
