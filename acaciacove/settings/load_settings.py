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
    """The requests of a load run, their target and their duration.

    ``entry_url`` is the URL of an entry or of the load balancer. Each of ``callers``
    sends one request at a time, until ``requests`` have been sent in total or
    ``seconds`` have passed. A share ``chat_share`` of the requests goes to
    ``chat_api`` (an API or ``model@version``). The others call ``service_path`` of
    ``service_api``, each with a new idempotency key. ``check_text`` compares the
    answers with the text that stand-ins generate.
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
