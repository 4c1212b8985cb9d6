"""Find the cheapest plan that meets the quality target."""

from collections.abc import Sequence
from itertools import chain

from attrs import evolve, frozen

from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.quality_estimates import (
    CONFIDENCE_DEVIATIONS,
    PRIOR_RATINGS,
    QualityEstimates,
    deviation_of,
)
from acaciacove.decisions.rated_class import SIGNAL_BINS
from acaciacove.decisions.response_bias import ResponseBias, fit_response_bias
from acaciacove.decisions.tally import Tally
from acaciacove.fleet.version import Version

SHORTFALL_CARRY_OVER = 0.6


@frozen
class _QualityCurve:
    """Per signal bin: share of the answers, mean rating, variance of that mean."""

    shares: tuple[float, ...]
    means: tuple[float, ...]
    variances: tuple[float, ...]

    @property
    def mean(self) -> float:
        """Mean rating over all bins."""
        return sum(s * m for s, m in zip(self.shares, self.means, strict=True))


def plan_cascade(
    ladder: Sequence[Version],
    estimates: QualityEstimates,
    request_class: str,
    target: float,
    may_escalate: bool = True,
) -> CascadePlan:
    """Plan for a class; ``ladder`` is in order of cost and not empty.

    Where nothing meets the target with confidence, the plan of the best expected
    quality is taken, never the cheapest.
    """
    first_bins = {v.id: estimates.bins(v.id, request_class) for v in ladder}
    bias = fit_response_bias(chain.from_iterable(first_bins.values()))
    curves = {v.id: _quality_curve(v, first_bins[v.id], bias) for v in ladder}
    plans = [_direct_plan(version, curves[version.id]) for version in ladder]
    if may_escalate:
        for place, first in enumerate(ladder):
            for second in ladder[place + 1 :]:
                before = curves[first.id]
                expected = curves[second.id].mean
                bins = estimates.bins(second.id, request_class, str(first.id))
                after = _curve_after(before, expected, bins, bias)
                plans.append(_escalating_plan(first, second, before, after, target))
    meeting = [plan for plan in plans if plan.lower >= target]
    if meeting:
        return min(meeting, key=lambda plan: plan.cost)
    return max(plans, key=lambda plan: plan.quality)


def _quality_curve(
    version: Version, raw: tuple[tuple[float, Tally], ...], bias: ResponseBias
) -> _QualityCurve:
    """Draw each bin's mean towards the version's mean, that towards its prior."""
    bins = [(count, bias.correct(tally)) for count, tally in raw]
    seen = sum(count for count, _ in bins)
    rated = sum(tally.count for _, tally in bins)
    total = sum(tally.total for _, tally in bins)
    overall = (total + PRIOR_RATINGS * version.quality) / (rated + PRIOR_RATINGS)
    tallies = [tally for _, tally in bins]
    return _QualityCurve(
        tuple((count + 1 / SIGNAL_BINS) / (seen + 1.0) for count, _ in bins),
        tuple(_shrunk_mean(tally, overall) for tally in tallies),
        tuple(_variance(tally) for tally in tallies),
    )


def _curve_after(
    before: _QualityCurve,
    expected: float,
    bins: tuple[tuple[float, Tally], ...],
    bias: ResponseBias,
) -> _QualityCurve:
    """Return the second answer's ratings by the first one's signal.

    What is hard for the first version is harder for the second too; until ratings
    tell how much, a part of the first one's shortfall is assumed to carry over.
    """
    priors = [
        expected + SHORTFALL_CARRY_OVER * min(0.0, mean - before.mean)
        for mean in before.means
    ]
    tallies = [bias.correct(tally) for _, tally in bins]
    return _QualityCurve(
        before.shares,
        tuple(_shrunk_mean(t, prior) for t, prior in zip(tallies, priors, strict=True)),
        tuple(_variance(tally) for tally in tallies),
    )


def _direct_plan(version: Version, curve: _QualityCurve) -> CascadePlan:
    variance = sum(
        s * s * v for s, v in zip(curve.shares, curve.variances, strict=True)
    )
    return CascadePlan(
        version.id,
        quality=curve.mean,
        lower=_lower_bound(curve.mean, variance),
        cost=version.cost_per_1k_tokens,
    )


def _escalating_plan(
    first: Version,
    second: Version,
    before: _QualityCurve,
    after: _QualityCurve,
    target: float,
) -> CascadePlan:
    """Raise the threshold bin by bin until the target is met, then share the edge."""
    below = _plan_at_threshold(first, second, before, after, 0)
    if below.lower >= target:
        return below
    for bins_below in range(1, SIGNAL_BINS + 1):
        plan = _plan_at_threshold(first, second, before, after, bins_below)
        if plan.lower >= target:
            return _interpolated_plan(below, plan, target)
        below = plan
    return below


def _plan_at_threshold(
    first: Version,
    second: Version,
    before: _QualityCurve,
    after: _QualityCurve,
    bins_below: int,
) -> CascadePlan:
    quality, variance = 0.0, 0.0
    for bin_, share in enumerate(before.shares):
        curve = after if bin_ < bins_below else before
        quality += share * curve.means[bin_]
        variance += share**2 * curve.variances[bin_]
    escalated = sum(before.shares[:bins_below])
    return CascadePlan(
        first.id,
        second.id,
        bins_below,
        quality=quality,
        lower=_lower_bound(quality, variance),
        cost=first.cost_per_1k_tokens + escalated * second.cost_per_1k_tokens,
    )


def _interpolated_plan(
    below: CascadePlan, above: CascadePlan, target: float
) -> CascadePlan:
    """Mix two neighbouring thresholds so that the target is just met."""
    gap = above.lower - below.lower
    share = 1.0 if gap <= 0 else min(1.0, (target - below.lower) / gap)
    return evolve(
        below,
        boundary_share=share,
        quality=below.quality + share * (above.quality - below.quality),
        lower=below.lower + share * gap,
        cost=below.cost + share * (above.cost - below.cost),
    )


def _shrunk_mean(tally: Tally, prior: float) -> float:
    return (tally.total + PRIOR_RATINGS * prior) / (tally.count + PRIOR_RATINGS)


def _variance(tally: Tally) -> float:
    return deviation_of(tally) ** 2 / (tally.count + PRIOR_RATINGS)


def _lower_bound(quality: float, variance: float) -> float:
    return quality - CONFIDENCE_DEVIATIONS * float(variance) ** 0.5
