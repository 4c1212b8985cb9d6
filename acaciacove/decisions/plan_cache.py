"""Plans that stay in use until enough new ratings have come."""

from attrs import define, field

from acaciacove.decisions.cached_plan import CachedPlan
from acaciacove.decisions.cascade_planner import plan_cascade
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.exploration import list_trials
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.fleet.version import Version

MAX_PLANS = 4096


@define
class PlanCache:
    """Remembers plans, so that a decision costs a look-up and not a search."""

    estimates: QualityEstimates
    settings: ChoiceSettings = ChoiceSettings()
    _plans: dict[object, CachedPlan] = field(factory=dict)

    def plan(
        self,
        ladder: tuple[Version, ...],
        request_class: str,
        target: float,
        may_escalate: bool,
    ) -> CachedPlan:
        """Return the plan in use, made anew after ``replan_ratings`` ratings."""
        key = (tuple(v.id for v in ladder), request_class, target, may_escalate)
        known = self._plans.get(key)
        due = self.estimates.generation - self.settings.replan_ratings
        if known is not None and known.generation > due:
            return known
        if len(self._plans) >= MAX_PLANS:
            self._plans.clear()
        self._plans[key] = self._make_plan(ladder, request_class, target, may_escalate)
        return self._plans[key]

    def _make_plan(
        self,
        ladder: tuple[Version, ...],
        request_class: str,
        target: float,
        may_escalate: bool,
    ) -> CachedPlan:
        plan = plan_cascade(ladder, self.estimates, request_class, target, may_escalate)
        trials = list_trials(ladder, plan, request_class, self.estimates, self.settings)
        return CachedPlan(
            plan, trials if may_escalate else (), self.estimates.generation
        )
