"""Settings of calls that may not be repeated."""

from attrs import frozen


@frozen
class ClaimSettings:
    """Bounds of the owner of claims.

    A key may be used for ``window_s`` after its first claim and is remembered for
    ``remembered_s``; keep the log's retention above both. ``clock_error_s`` bounds
    how far Unix clocks differ. A claim waits for the log for up to ``claim_wait_s``;
    outcomes and releases wait ``record_linger_s`` for a claim to ride with.
    Answers of up to ``kept_body_bytes`` are kept in the log, and the last
    ``kept_answers`` of any size in memory. With
    ``dated_keys_only`` a key must be a UUID version 7, whose age is known without
    any record. A claim that is older than ``start_limit_s`` is not started.
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
        """Return how long a key is remembered."""
        return self.window_s + 2 * self.clock_error_s
