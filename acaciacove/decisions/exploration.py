"""Exploration: trials of versions that the plan does not use."""

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
    """Return the possible trials for a plan, with their probabilities per request.

    A version that is cheaper than the plan's first one is queried before it and only
    rated, so callers get the answer of the plan. A more expensive version replaces the
    first one under the same threshold. The extra cost is limited to a share of the
    plan's cost.
    """
    others = [version for version in ladder if version.id != plan.start]
    probabilities = [
        _probability(version, plan, request_class, estimates, settings)
        for version in others
    ]
    total = sum(probabilities)
    scale = min(1.0, settings.max_tried_share / total) if total else 0.0
    return tuple(
        _trial(ladder, plan, version, probability * scale)
        for version, probability in zip(others, probabilities, strict=True)
    )


def draw_trial(trials: Sequence[Trial], rng: Random) -> Trial | None:
    """Return one of the trials at random by their probabilities, or None."""
    remaining = rng.random()
    for trial in trials:
        remaining -= trial.probability
        if remaining < 0.0:
            return trial
    return None


def _probability(
    version: Version,
    plan: CascadePlan,
    request_class: str,
    estimates: QualityEstimates,
    settings: ChoiceSettings,
) -> float:
    rating_count = estimates.rated_count(version.id, request_class)
    is_settled = rating_count >= settings.settled_ratings
    cost_share = (
        settings.settled_cost_share if is_settled else settings.eager_cost_share
    )
    return cost_share * plan.cost / max(1e-9, version.cost_per_1k_tokens)


def _trial(
    ladder: Sequence[Version], plan: CascadePlan, tried: Version, probability: float
) -> Trial:
    positions = {version.id: position for position, version in enumerate(ladder)}
    if positions[tried.id] < positions[plan.start]:
        return Trial(
            (tried.id, plan.start), always_escalates=True, probability=probability
        )
    second = plan.escalate_to
    if second is None or positions[second] <= positions[tried.id]:
        return Trial((tried.id,), always_escalates=False, probability=probability)
    return Trial((tried.id, second), always_escalates=False, probability=probability)
