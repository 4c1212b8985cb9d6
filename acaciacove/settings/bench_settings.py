"""Settings of ``bench``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import (
    at_least,
    check,
    is_name,
    is_positive,
    is_share,
    optional,
)


@frozen
class BenchSettings(CheckedSettings):
    """Which benchmark to run, and its load; None means the benchmark's default.

    ``rounds`` and ``break_promise`` apply to the benchmark ``promises`` only.
    """

    bench: str = field(metadata=check(is_name))
    seed: int = field(default=1, metadata=check(at_least(0)))
    policy: str = ""
    duration_s: float | None = field(
        default=None, metadata=check(optional(is_positive))
    )
    rate_per_s: float | None = field(
        default=None, metadata=check(optional(is_positive))
    )
    load: float | None = field(default=None, metadata=check(optional(is_positive)))
    entries: int | None = field(default=None, metadata=check(optional(at_least(1))))
    endpoints: int | None = field(default=None, metadata=check(optional(at_least(1))))
    organisations: int | None = field(
        default=None, metadata=check(optional(at_least(1)))
    )
    rated_share: float | None = field(default=None, metadata=check(optional(is_share)))
    rating_delay_s: float | None = field(
        default=None, metadata=check(optional(at_least(0)))
    )
    report_lag_s: float | None = field(
        default=None, metadata=check(optional(at_least(0)))
    )
    rounds: int = field(default=10, metadata=check(at_least(1)))
    break_promise: str = ""
    json: bool = False
