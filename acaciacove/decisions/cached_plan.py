"""Cached plan with its trials."""

from attrs import frozen

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.trial import Trial


@frozen
class CachedPlan:
    """Plan, its trials, and the ``generation`` of the estimates it was made from."""

    plan: CascadePlan
    trials: tuple[Trial, ...]
    generation: int
