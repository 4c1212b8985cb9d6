"""Settings of the choice of a version."""

from attrs import frozen


@frozen
class ChoiceSettings:
    """How freely versions are tried.

    ``explore_share`` of the requests also ask another version, whose answer is
    rated but not delivered; ``settled_ratings`` per version and class end the
    eager phase, in which ``eager_share`` is used. ``max_wasted_share`` bounds the
    cost of answers that are thrown away, as a share of all cost.
    """

    explore_share: float = 0.01
    eager_share: float = 0.06
    settled_ratings: float = 120.0
    max_wasted_share: float = 0.35
    replan_ratings: int = 32
