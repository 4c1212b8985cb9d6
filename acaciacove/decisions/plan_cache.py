"""Plans that stay in use until enough new ratings have come."""

from attrs import define, field

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.cascade_planner import plan_cascade
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.fleet.version import Version

MAX_PLANS = 4096


@define
class PlanCache:
    """Remembers plans, so that a decision costs a look-up and not a search."""

    estimates: QualityEstimates
    settings: ChoiceSettings = ChoiceSettings()
    _plans: dict[object, tuple[int, CascadePlan]] = field(factory=dict)

    def plan(
        self,
        ladder: tuple[Version, ...],
        request_class: str,
        target: float,
        may_escalate: bool,
    ) -> CascadePlan:
        """Return the plan in use, made anew after ``replan_ratings`` ratings."""
        key = (tuple(v.id for v in ladder), request_class, target, may_escalate)
        known = self._plans.get(key)
        age = self.estimates.generation - known[0] if known else 0
        if known and age < self.settings.replan_ratings:
            return known[1]
        if len(self._plans) >= MAX_PLANS:
            self._plans.clear()
        plan = plan_cascade(
            ladder, self.estimates, request_class, target, self.settings, may_escalate
        )
        self._plans[key] = (self.estimates.generation, plan)
        return plan
