"""Count, sum and sum of squares of some scores."""

from attrs import frozen


@frozen
class Tally:
    """Moments of a sample of scores."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    @property
    def mean(self) -> float:
        """Mean score, or 0 without any scores."""
        return self.total / self.count if self.count else 0.0

    def plus(self, count: float, total: float, squares: float) -> "Tally":
        """Return a tally that includes more scores."""
        return Tally(self.count + count, self.total + total, self.squares + squares)
