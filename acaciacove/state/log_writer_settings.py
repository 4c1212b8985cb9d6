"""Settings of the log writer."""

from attrs import field, frozen

from acaciacove.state.priority import Priority
from acaciacove.state.record import RELEASE_STREAM


@frozen
class LogWriterSettings:
    """Bounds of one process's appends.

    The rates are appends a second of this process, one bucket a class, so that
    bookings cannot starve bills nor the reverse; see ``append_budget``. A batch
    waits for up to ``billing_linger_s`` (bills), or up to ``max_linger_s`` times
    the emptiness of its bucket (claims), so an idle process does not wait at all.
    Streams in ``single_streams`` carry one bare item a payload.
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
        """Return the append rate of a class."""
        return {
            Priority.DECISION: self.decisions_per_s,
            Priority.CLAIM: self.claims_per_s,
            Priority.BILLING: self.billing_per_s,
        }[priority]
