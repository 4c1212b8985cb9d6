"""A quality estimate with its confidence bounds."""

from attrs import frozen


@frozen
class Estimate:
    """Expected rating (0 to 1), its one-sided bounds and the ratings behind it."""

    mean: float
    lower: float
    upper: float
    count: float
