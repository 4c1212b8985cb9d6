"""This gateway's share of a bound on an endpoint, as it was last worked out."""

from attrs import define


@define(eq=False)
class LimitShare:
    """``own`` of ``total`` requests among ``gateways``; last checked ``checked_s``."""

    total: int = -1
    own: int = 0
    gateways: frozenset[str] = frozenset()
    checked_s: float = float("-inf")
