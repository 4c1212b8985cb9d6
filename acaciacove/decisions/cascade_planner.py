"""Find the cheapest plan that meets the quality target."""

from collections.abc import Sequence

from attrs import evolve, frozen

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.quality_estimates import (
    CONFIDENCE_DEVIATIONS,
    PRIOR_RATINGS,
    QualityEstimates,
    deviation_of,
)
from acaciacove.decisions.rated_class import SIGNAL_BINS
from acaciacove.decisions.tally import Tally
from acaciacove.fleet.version import Version

ESCALATED_STEP = 1
ESCALATED_DISCOUNT = 0.97


@frozen
class _Curve:
    """Per signal bin of one version: share, mean rating, and variance of the mean."""

    shares: tuple[float, ...]
    means: tuple[float, ...]
    variances: tuple[float, ...]


def plan_cascade(
    ladder: Sequence[Version],
    estimates: QualityEstimates,
    request_class: str,
    target: float,
    settings: ChoiceSettings,
    may_escalate: bool = True,
) -> CascadePlan:
    """Plan for a class; ``ladder`` is in order of cost and not empty.

    Where nothing meets the target with confidence, the plan of the best expected
    quality is taken, never the cheapest.
    """
    curves = {v.id: _curve(estimates, v, request_class) for v in ladder}
    plans = [_direct(version, curves[version.id]) for version in ladder]
    if may_escalate:
        for at, first in enumerate(ladder):
            for second in ladder[at + 1 :]:
                escalated = estimates.bins(second.id, request_class, ESCALATED_STEP)
                prior = _direct(second, curves[second.id]).quality
                found = _escalating(
                    first,
                    second,
                    curves[first.id],
                    _pooled(escalated, prior * ESCALATED_DISCOUNT),
                    target,
                    settings,
                )
                if found is not None:
                    plans.append(found)
    meeting = [plan for plan in plans if plan.lower >= target]
    if meeting:
        return min(meeting, key=lambda plan: plan.cost)
    return max(plans, key=lambda plan: plan.quality)


def _curve(estimates: QualityEstimates, version: Version, request_class: str) -> _Curve:
    """Draw each bin's mean towards the version's mean, that towards its prior."""
    bins = estimates.bins(version.id, request_class)
    seen = sum(count for count, _ in bins)
    rated = sum(tally.count for _, tally in bins)
    total = sum(tally.total for _, tally in bins)
    overall = (total + PRIOR_RATINGS * version.quality) / (rated + PRIOR_RATINGS)
    shares = tuple((count + 1 / SIGNAL_BINS) / (seen + 1.0) for count, _ in bins)
    means = tuple(
        (tally.total + PRIOR_RATINGS * overall) / (tally.count + PRIOR_RATINGS)
        for _, tally in bins
    )
    variances = tuple(
        deviation_of(tally) ** 2 / (tally.count + PRIOR_RATINGS) for _, tally in bins
    )
    return _Curve(shares, means, variances)


def _direct(version: Version, curve: _Curve) -> CascadePlan:
    quality = sum(s * m for s, m in zip(curve.shares, curve.means, strict=True))
    variance = sum(
        s * s * v for s, v in zip(curve.shares, curve.variances, strict=True)
    )
    return CascadePlan(
        version.id,
        quality=quality,
        lower=_lower(quality, variance),
        cost=version.cost_per_1k_tokens,
    )


def _pooled(bins: tuple[tuple[float, Tally], ...], prior: float) -> tuple[float, float]:
    """Return mean and variance of the mean over all bins."""
    pooled = Tally()
    for _, tally in bins:
        pooled = pooled.plus(tally.count, tally.total, tally.squares)
    count = pooled.count + PRIOR_RATINGS
    mean = (pooled.total + PRIOR_RATINGS * prior) / count
    return mean, deviation_of(pooled) ** 2 / count


def _escalating(
    first: Version,
    second: Version,
    curve: _Curve,
    escalated: tuple[float, float],
    target: float,
    settings: ChoiceSettings,
) -> CascadePlan | None:
    """Raise the threshold bin by bin until the target is met, then share the edge."""
    below: CascadePlan | None = None
    for bins_below in range(SIGNAL_BINS):
        plan = _at_threshold(first, second, curve, escalated, bins_below)
        if plan.lower >= target:
            return _on_the_edge(below, plan, target) if below else plan
        below = plan
    return below if settings.max_wasted_share >= 1.0 else None


def _at_threshold(
    first: Version,
    second: Version,
    curve: _Curve,
    escalated: tuple[float, float],
    bins_below: int,
) -> CascadePlan:
    kept = range(bins_below, SIGNAL_BINS)
    share = sum(curve.shares[:bins_below])
    quality = sum(curve.shares[b] * curve.means[b] for b in kept)
    variance = sum(curve.shares[b] ** 2 * curve.variances[b] for b in kept)
    mean, mean_variance = escalated
    quality += share * mean
    variance += share**2 * mean_variance
    return CascadePlan(
        first.id,
        second.id,
        bins_below,
        quality=quality,
        lower=_lower(quality, variance),
        cost=first.cost_per_1k_tokens + share * second.cost_per_1k_tokens,
    )


def _on_the_edge(below: CascadePlan, above: CascadePlan, target: float) -> CascadePlan:
    """Mix two neighbouring thresholds so that the target is just met."""
    gap = above.lower - below.lower
    share = 1.0 if gap <= 0 else min(1.0, (target - below.lower) / gap)
    return evolve(
        below,
        edge_share=share,
        quality=below.quality + share * (above.quality - below.quality),
        lower=below.lower + share * gap,
        cost=below.cost + share * (above.cost - below.cost),
    )


def _lower(quality: float, variance: float) -> float:
    return quality - CONFIDENCE_DEVIATIONS * float(variance) ** 0.5
