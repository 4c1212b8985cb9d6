"""Settings of non-repeatable calls."""

from attrs import frozen


@frozen
class ClaimSettings:
    """Timeouts and limits of ``ClaimOwner``.

    A key may be used for ``window_s`` after its first claim, and its claim is
    retained for ``remembered_s``. The retention of the log must exceed both.
    ``clock_error_s`` is the largest difference between Unix clocks. A claim waits for
    the log for up to ``claim_wait_s``. Outcomes and releases wait up to
    ``record_linger_s`` to be batched with a claim. Answers of up to
    ``kept_body_bytes`` are stored in the log, and the last ``kept_answers`` of any
    size in memory. With ``dated_keys_only`` a key must be a UUID version 7, whose age
    is known without any record. A call is not started if its claim is older than
    ``start_limit_s``. ``poll_s`` is the time between two reads while a retry waits,
    ``refresh_s`` the time between two reads of the preferred partitions.
    """

    window_s: float = 86_400.0
    clock_error_s: float = 300.0
    claim_wait_s: float = 2.0
    start_limit_s: float = 120.0
    record_linger_s: float = 0.05
    poll_s: float = 0.1
    refresh_s: float = 5.0
    kept_body_bytes: int = 4096
    kept_answers: int = 4096
    dated_keys_only: bool = False
    partitions: int = 64

    @property
    def remembered_s(self) -> float:
        """Return the retention time of a claim."""
        return self.window_s + 2 * self.clock_error_s
