"""Cache of cascade plans."""

from attrs import define, field

from acaciacove.decisions.cascade_planner import plan_cascade
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.exploration import list_trials
from acaciacove.decisions.plan_in_use import PlanInUse
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.fleet.version import Version

MAX_PLANS = 4096


@define
class PlanCache:
    """Caches plans until enough new ratings have arrived.

    A decision then costs a look-up instead of a search.
    """

    estimates: QualityEstimates
    settings: ChoiceSettings = ChoiceSettings()
    _plans: dict[object, PlanInUse] = field(factory=dict)

    def plan(
        self,
        ladder: tuple[Version, ...],
        request_class: str,
        target: float,
        may_escalate: bool,
    ) -> PlanInUse:
        """Return the cached plan, or a new one after ``replan_ratings`` ratings."""
        key = (tuple(v.id for v in ladder), request_class, target, may_escalate)
        cached = self._plans.get(key)
        stale_generation = self.estimates.generation - self.settings.replan_ratings
        if cached is not None and cached.generation > stale_generation:
            return cached
        if len(self._plans) >= MAX_PLANS:
            self._plans.clear()
        self._plans[key] = self._planned(ladder, request_class, target, may_escalate)
        return self._plans[key]

    def _planned(
        self,
        ladder: tuple[Version, ...],
        request_class: str,
        target: float,
        may_escalate: bool,
    ) -> PlanInUse:
        plan = plan_cascade(ladder, self.estimates, request_class, target, may_escalate)
        trials = list_trials(ladder, plan, request_class, self.estimates, self.settings)
        return PlanInUse(
            plan, trials if may_escalate else (), self.estimates.generation
        )
