"""Policies that see the truth, as bounds for the cascade scenario."""

from numpy import argsort, cumsum, float64, full, searchsorted, stack, where

from acaciacove.bench.answer_model import Floats
from acaciacove.bench.cascade_load import CLASSES, TARGET, CascadeLoad
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

BISECTIONS = 40


def oracle_costs(load: CascadeLoad, versions: dict[VersionId, Version]) -> Floats:
    """Return each request's cost under the best plan of one or two answers.

    The oracle knows every version's mean quality and, once an answer is there, the
    true quality of that answer and of the one that would follow. Per class it takes
    the plan that meets the target at the least cost.
    """
    return _best_costs(load, versions, sees_gain=True)


def signal_oracle_costs(
    load: CascadeLoad, versions: dict[VersionId, Version]
) -> Floats:
    """Return costs if the truth of every threshold were known, on our signals.

    It escalates in order of the engine's noisy confidence, as we do; what we cost
    more is the price of learning.
    """
    return _best_costs(load, versions, sees_gain=False)


def _best_costs(
    load: CascadeLoad, versions: dict[VersionId, Version], sees_gain: bool
) -> Floats:
    costs = full(len(load.classes), 0.0, dtype=float64)
    for name in CLASSES:
        mask = [at for at, c in enumerate(load.classes) if c == name]
        best: Floats | None = None
        for first, one in versions.items():
            for second, two in versions.items():
                if two.cost_per_1k_tokens < one.cost_per_1k_tokens:
                    continue
                steps = ((first, one), (second, two))
                part = _plan_costs(load, mask, steps, sees_gain)
                if part is not None and (best is None or part.sum() < best.sum()):
                    best = part
        if best is not None:
            costs[mask] = best
    return costs


def _plan_costs(
    load: CascadeLoad,
    mask: list[int],
    steps: tuple[tuple[VersionId, Version], tuple[VersionId, Version]],
    sees_gain: bool,
) -> Floats | None:
    """Escalate the most rewarding requests, as few as the target needs."""
    first, second = steps
    tokens = load.tokens[mask] / 1000.0
    before = load.qualities[first[0]][mask]
    gain = load.qualities[second[0]][mask] - before
    need = TARGET * len(mask) - before.sum()
    cost = first[1].cost_per_1k_tokens * tokens
    if need <= 0:
        return cost
    order = argsort(-gain / tokens if sees_gain else load.signals[first[0]][mask])
    reached = cumsum(gain[order])
    if reached.max(initial=0.0) < need:
        return None
    escalated = order[
        : int(searchsorted(reached[: int(reached.argmax()) + 1], need)) + 1
    ]
    extra = full(len(mask), 0.0)
    extra[escalated] = second[1].cost_per_1k_tokens * tokens[escalated]
    return cost + extra


def clairvoyant_costs(load: CascadeLoad, versions: dict[VersionId, Version]) -> Floats:
    """Return costs if each request's quality on every version were known before.

    Only one answer is ever asked for; no policy without foresight can reach this.
    """
    costs = full(len(load.classes), 0.0, dtype=float64)
    prices = [v.cost_per_1k_tokens for v in versions.values()]
    for name in CLASSES:
        mask = [at for at, c in enumerate(load.classes) if c == name]
        tokens = load.tokens[mask] / 1000.0
        table = stack([load.qualities[v][mask] for v in versions])
        spent = stack([price * tokens for price in prices])
        low, high = 0.0, 1e4
        for _ in range(BISECTIONS):
            worth = (low + high) / 2.0
            chosen = (worth * table - spent).argmax(axis=0)
            quality = table[chosen, range(len(mask))].mean()
            low, high = where(quality < TARGET, (worth, high), (low, worth))
        chosen = (high * table - spent).argmax(axis=0)
        costs[mask] = spent[chosen, range(len(mask))]
    return costs
