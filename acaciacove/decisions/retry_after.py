"""Computes when refused callers may return, for the load of synchronised retries."""

from math import floor

# Callers wait for at most this share of the time that their request has left.
MAX_REMAINING_SHARE = 1.0 / 3.0
# Retry-After has two decimals.
RESOLUTION_S = 0.01


def drain_time_s(wait_s: float, returning_tokens: float, tokens_per_s: float) -> float:
    """Return the seconds until the endpoints have served the present backlog.

    The backlog is the endpoints' queues, of ``wait_s`` seconds, and the refused
    requests whose callers are yet to return. Without the latter all callers of a long
    burst would return within the same short time.
    """
    return wait_s + (returning_tokens / tokens_per_s if tokens_per_s > 0.0 else 0.0)


def retry_after_s(drain_s: float, remaining_s: float, jitter: float) -> float:
    """Return the seconds after which the caller may return, in whole hundredths.

    ``jitter``, from 0 to 1, spreads the returns over the time of the drain again. The
    result exceeds a third of ``remaining_s`` only where that is under a hundredth.
    """
    bounded_s = min(drain_s * (1.0 + jitter), remaining_s * MAX_REMAINING_SHARE)
    return max(1, floor(bounded_s / RESOLUTION_S + 1e-9)) * RESOLUTION_S
