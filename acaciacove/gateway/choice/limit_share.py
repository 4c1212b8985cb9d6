"""This gateway's share of an endpoint's limit, as it was last worked out."""

from attrs import define


@define(eq=False)
class LimitShare:
    """``own`` of ``total`` requests, worked out at ``worked_out_s``."""

    total: int = -1
    own: int = 0
    worked_out_s: float = float("-inf")
