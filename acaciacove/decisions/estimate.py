"""Quality estimate with confidence bounds."""

from attrs import frozen


@frozen
class Estimate:
    """Expected rating (0 to 1), its one-sided bounds and the number of ratings."""

    mean: float
    lower: float
    upper: float
    count: float
