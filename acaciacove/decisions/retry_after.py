"""Computes when refused callers may return, for the load of synchronised retries."""

from math import floor

# Callers wait for at most this share of the time that their request has left.
MAX_REMAINING_SHARE = 1.0 / 3.0
# Retry-After has two decimals.
RESOLUTION_S = 0.01
ROUNDING = 1e-9


def drain_time_s(wait_s: float, returning_tokens: float, free_per_s: float) -> float:
    """Return the seconds until the endpoints have served the present backlog.

    The backlog is the endpoints' queues, of ``wait_s`` seconds, and the refused
    requests whose callers are yet to return. For the latter there is only the capacity
    that new requests leave free, ``free_per_s`` tokens per second.
    """
    return wait_s + (returning_tokens / free_per_s if free_per_s > 0.0 else 0.0)


def retry_after_s(drain_s: float, remaining_s: float, jitter: float) -> float:
    """Return the seconds after which the caller may return, in whole hundredths.

    ``jitter``, from 0 to 1, spreads the returns over the time of the drain again, also
    where the time left bounds them. The result exceeds a third of ``remaining_s`` only
    where that is under a hundredth.
    """
    longest_s = remaining_s * MAX_REMAINING_SHARE
    after_s = min(drain_s, longest_s / 2.0) * (1.0 + jitter)
    return max(1, floor(after_s / RESOLUTION_S + ROUNDING)) * RESOLUTION_S
