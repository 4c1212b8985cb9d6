"""Share of one gateway in a limit on an endpoint, as last computed."""

from attrs import define


@define(eq=False)
class LimitShare:
    """The cached share of a limit.

    Of ``total`` requests, ``allotted`` are this gateway's share among ``gateways``.
    ``checked_s`` is when the list of gateways was last checked.
    """

    total: int = -1
    allotted: int = 0
    gateways: frozenset[str] = frozenset()
    checked_s: float = float("-inf")
