"""Figures from served requests."""

from collections.abc import Iterable, Sequence

from ddsketch import DDSketch

SKETCH_ACCURACY = 0.005


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile; 0 of nothing."""
    sketch = DDSketch(SKETCH_ACCURACY)
    for value in values:
        sketch.add(value)
    return float(sketch.get_quantile_value(share) or 0.0)


def jain_index(shares: Sequence[float]) -> float:
    """Return Jain's fairness index, 1 when all are equal."""
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0
