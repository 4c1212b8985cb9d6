"""Faults of the rating-service stand-in."""

from attrs import define


@define
class RatingFaults:
    """Outage, sampling, delay and bias of the ratings.

    A share ``sampled_share`` of the answers is rated. Their ratings are listed
    ``delay_s`` after submission, and ``bias`` is added to the mean of every score.
    """

    outage: bool = False
    sampled_share: float = 1.0
    delay_s: float = 0.0
    bias: float = 0.0
