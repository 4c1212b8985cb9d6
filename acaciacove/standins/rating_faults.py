"""Faults of the rating-service stand-in."""

from attrs import define


@define
class RatingFaults:
    """What is wrong with the ratings.

    Only ``sampled_share`` of the answers are rated, ``delay_s`` after they came in,
    and every score is off by ``bias``.
    """

    outage: bool = False
    sampled_share: float = 1.0
    delay_s: float = 0.0
    bias: float = 0.0
