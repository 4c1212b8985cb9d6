"""Settings of the log writer."""

from attrs import field, frozen

from acaciacove.state.priority import Priority
from acaciacove.state.record import RELEASE_STREAM


@frozen
class LogWriterSettings:
    """Limits on the appends of one process.

    The rates are appends per second of this process. Each priority has its own token
    bucket, so that claims cannot starve billing records or the reverse; see
    ``append_budget``. A batch of billing records waits up to ``billing_linger_s`` for
    more items. A batch of claims waits up to ``max_linger_s``, depending on how much
    of its bucket is used, so that an idle process does not wait at all. Payloads of
    streams in ``single_streams`` are one item without the envelope of a batch.
    """

    decisions_per_s: float = 20.0
    claims_per_s: float = 50.0
    billing_per_s: float = 2.0
    burst: float = 8.0
    max_items: int = 20_000
    max_batch_items: int = 512
    max_batch_bytes: int = 262_144
    max_in_flight: int = 16
    max_linger_s: float = 0.05
    billing_linger_s: float = 0.5
    append_timeout_s: float = 2.0
    backoff_limit_s: float = 2.0
    single_streams: frozenset[str] = field(default=frozenset({RELEASE_STREAM}))

    def rate_per_s(self, priority: Priority) -> float:
        """Return the append rate of a priority."""
        return {
            Priority.DECISION: self.decisions_per_s,
            Priority.CLAIM: self.claims_per_s,
            Priority.BILLING: self.billing_per_s,
        }[priority]
