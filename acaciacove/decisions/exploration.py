"""When to try a version that the plan does not use, and how without harm."""

from collections.abc import Sequence
from random import Random

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.trial import Trial
from acaciacove.fleet.version import Version


def list_trials(
    ladder: Sequence[Version],
    plan: CascadePlan,
    request_class: str,
    estimates: QualityEstimates,
    settings: ChoiceSettings,
) -> tuple[Trial, ...]:
    """List what may be tried beside a plan, each with its chance per request.

    A cheaper version than the plan's first is asked before it and only rated, so
    callers get what the plan would give. A dearer one takes the place of the first
    under the same threshold. The extra cost is bounded as a share of the plan's.
    """
    others = [version for version in ladder if version.id != plan.start]
    chances = [
        _chance(version, plan, request_class, estimates, settings) for version in others
    ]
    total = sum(chances)
    scale = min(1.0, settings.max_tried_share / total) if total else 0.0
    return tuple(
        _trial(ladder, plan, version, chance * scale)
        for version, chance in zip(others, chances, strict=True)
    )


def draw_trial(trials: Sequence[Trial], rng: Random) -> Trial | None:
    """Draw at most one of the trials."""
    left = rng.random()
    for trial in trials:
        left -= trial.probability
        if left < 0.0:
            return trial
    return None


def _chance(
    version: Version,
    plan: CascadePlan,
    request_class: str,
    estimates: QualityEstimates,
    settings: ChoiceSettings,
) -> float:
    rated = estimates.rated_count(version.id, request_class)
    settled = rated >= settings.settled_ratings
    cost_share = settings.settled_cost_share if settled else settings.eager_cost_share
    return cost_share * plan.cost / max(1e-9, version.cost_per_1k_tokens)


def _trial(
    ladder: Sequence[Version], plan: CascadePlan, tried: Version, chance: float
) -> Trial:
    places = {version.id: place for place, version in enumerate(ladder)}
    if places[tried.id] < places[plan.start]:
        return Trial((tried.id, plan.start), always_escalates=True, probability=chance)
    second = plan.escalate_to
    if second is None or places[second] <= places[tried.id]:
        return Trial((tried.id,), always_escalates=False, probability=chance)
    return Trial((tried.id, second), always_escalates=False, probability=chance)
