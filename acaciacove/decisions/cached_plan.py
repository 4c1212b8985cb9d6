"""A plan with what may be tried beside it."""

from attrs import frozen

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.trial import Trial


@frozen
class CachedPlan:
    """``generation`` is that of the estimates that the plan was made from."""

    plan: CascadePlan
    trials: tuple[Trial, ...]
    generation: int
