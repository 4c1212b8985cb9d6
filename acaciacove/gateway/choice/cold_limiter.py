"""Limits the requests per second from this gateway to a cold endpoint."""

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.gateway.choice.stable_hash import stable_hash

WINDOW_S = 1.0
# Sent requests are counted at sending, but the endpoint counts them at arrival. A
# request sent at the end of one window and one sent over a second later can arrive
# within the same second; the longer window here keeps them apart.
WINDOW_MARGIN_S = 0.15


class ColdLimiter:
    """Share of one gateway in the rate that one cold endpoint can serve.

    The shares of all gateways add up to at most ``limit``. With more gateways than
    requests per second, a hash selects the ``limit`` gateways that may send any.
    """

    def __init__(self) -> None:
        """Start with an empty window."""
        self._sent = SlidingWindowCounter(WINDOW_S + WINDOW_MARGIN_S)
        self._reserved = 0

    def allows(self, now_s: float, share: int) -> bool:
        """Return whether one more request may be sent now."""
        return self._sent.total(now_s) + self._reserved + 1 <= share

    def reserve(self) -> None:
        """Reserve a place for a request that has been chosen and is not sent yet.

        Making a connection takes time. If requests were counted only once connected,
        all requests of a burst would find the endpoint free and arrive together.
        """
        self._reserved += 1

    def release(self) -> None:
        """Release a reserved place: its request is sent, or will not be."""
        self._reserved -= 1

    def count(self, now_s: float) -> None:
        """Count a request that is sent."""
        self._sent.add(now_s)


def gateway_share(
    limit: float, endpoint: str, gateway: str, gateways: frozenset[str]
) -> int:
    """Return how many requests per second ``gateway`` may send to ``endpoint``."""
    all_gateways = gateways | {gateway}
    share = int(limit // len(all_gateways))
    if share >= 1:
        return share
    ranked = sorted(all_gateways, key=lambda name: stable_hash(f"{endpoint}/{name}"))
    return 1 if ranked.index(gateway) < int(limit) else 0
