"""Verdict of the gateways on a request that may crash endpoints."""

from attrs import frozen

# Values of ``kind`` on the wire.
TRIED = 1
QUARANTINED = 2
CLEARED = 3


@frozen
class RequestVerdict:
    """Verdict on the request with this fingerprint.

    ``trials`` counts the attempts since the request became suspect, and
    ``endpoint`` is that of the last one. If two gateways claim the same attempt,
    the one with the lower ``claim`` may make it. ``left_s`` is the remaining time
    of a quarantine, or for which a ``CLEARED`` verdict remains valid.
    """

    fingerprint: int
    kind: int
    trials: int = 0
    endpoint: int = 0
    left_s: float = 0.0
    claim: int = 0
