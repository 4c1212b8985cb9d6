"""How a version under roll-out truly behaves, over the ratings it gets."""

from collections.abc import Callable

from numpy import clip
from numpy.random import Generator

OLD_MEAN = 0.8
DEVIATION = 0.18
Truth = Callable[[float], float]


def good(_: float) -> float:
    """Stay as good as the replaced version."""
    return OLD_MEAN


def bad(_: float) -> float:
    """Be 30 in 100 worse from the start."""
    return 0.7 * OLD_MEAN


def turns_bad(at_s: float) -> Truth:
    """Be good, and 30 in 100 worse from ``at_s`` on."""
    return lambda now_s: OLD_MEAN if now_s < at_s else 0.7 * OLD_MEAN


def declines(from_s: float, over_s: float) -> Truth:
    """Be good until ``from_s``, then lose 30 in 100 evenly over ``over_s``."""

    def mean(now_s: float) -> float:
        lost = min(1.0, max(0.0, (now_s - from_s) / over_s))
        return OLD_MEAN * (1.0 - 0.3 * lost)

    return mean


def draw_score(mean: float, rng: Generator) -> float:
    """Draw one rating."""
    return float(clip(rng.normal(mean, DEVIATION), 0.0, 1.0))
