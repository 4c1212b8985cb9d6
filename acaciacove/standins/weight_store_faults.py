"""Faults of the weight-store stand-in."""

from attrs import define


@define
class WeightStoreFaults:
    """``lose_replies`` is the number of permits granted without a reply (-1: all)."""

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
