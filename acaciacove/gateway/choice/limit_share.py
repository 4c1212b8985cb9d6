"""This gateway's share of a bound on an endpoint, as it was last worked out."""

from attrs import define


@define(eq=False)
class LimitShare:
    """``allotted`` of ``total`` requests among ``gateways``, as of ``checked_s``."""

    total: int = -1
    allotted: int = 0
    gateways: frozenset[str] = frozenset()
    checked_s: float = float("-inf")
