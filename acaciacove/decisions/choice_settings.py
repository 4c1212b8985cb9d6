"""Settings of the choice of a version."""

from attrs import frozen


@frozen
class ChoiceSettings:
    """Settings of exploration and planning.

    Trials of a version may add ``eager_cost_share`` to the cost of a request class
    until the version has ``settled_ratings`` ratings in it, and
    ``settled_cost_share`` afterwards. At most ``max_tried_share`` of the requests are
    trials. Plans are recomputed after ``replan_ratings`` new ratings.
    """

    eager_cost_share: float = 0.1
    settled_cost_share: float = 0.01
    settled_ratings: float = 200.0
    max_tried_share: float = 0.5
    replan_ratings: int = 32
