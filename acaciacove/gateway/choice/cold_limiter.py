"""How many requests a second a cold endpoint gets from this gateway."""

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.gateway.choice.stable_hash import stable_hash

WINDOW_S = 1.0
# A request is counted where it arrives. One that was sent at the end of one
# second can meet one that was sent over a second later within one second of the
# endpoint's clock; the longer window on this side keeps them apart.
WINDOW_MARGIN_S = 0.15


class ColdLimiter:
    """This gateway's part of what one cold endpoint bears.

    The parts of all gateways add up to at most ``limit``. With more gateways
    than requests a second, only the ``limit`` that a hash picks may send any.
    """

    def __init__(self) -> None:
        """Begin without sent requests."""
        self._sent = SlidingWindowCounter(WINDOW_S + WINDOW_MARGIN_S)
        self._reserved = 0

    def allows(self, now_s: float, share: int) -> bool:
        """Tell whether one more request may be sent now."""
        return self._sent.total(now_s) + self._reserved + 1 <= share

    def reserve(self) -> None:
        """Keep a place for a request that has been chosen and is not sent yet.

        Connections take time. Counted only when they stand, a burst of requests
        would all find the endpoint free, and arrive together.
        """
        self._reserved += 1

    def release(self) -> None:
        """Give a place back: its request is sent, or will not be."""
        self._reserved -= 1

    def count(self, now_s: float) -> None:
        """Count a request that is sent."""
        self._sent.add(now_s)


def gateway_share(
    limit: float, endpoint: str, gateway: str, gateways: frozenset[str]
) -> int:
    """Return how many requests a second ``gateway`` may send to ``endpoint``."""
    all_gateways = gateways | {gateway}
    whole = int(limit // len(all_gateways))
    if whole >= 1:
        return whole
    ranked = sorted(all_gateways, key=lambda name: stable_hash(f"{endpoint}/{name}"))
    return 1 if ranked.index(gateway) < int(limit) else 0
