"""Settings of the choice of a version."""

from attrs import frozen


@frozen
class ChoiceSettings:
    """How freely versions are tried.

    Trying may add ``eager_cost_share`` to the cost of a class until a version has
    ``settled_ratings`` in it, and ``settled_cost_share`` from then on; at most
    ``max_tried_share`` of the requests try one. Plans are made anew after
    ``replan_ratings`` ratings.
    """

    eager_cost_share: float = 0.1
    settled_cost_share: float = 0.01
    settled_ratings: float = 200.0
    max_tried_share: float = 0.5
    replan_ratings: int = 32
