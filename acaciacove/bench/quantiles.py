"""Quantiles of times, kept in a sketch of bounded size."""

from attrs import define, field, frozen
from ddsketch import DDSketch

RELATIVE_ACCURACY = 0.01
MS = 1000.0


@frozen
class Quantiles:
    """Times in milliseconds, within one per cent."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    mean_ms: float


@define
class TimeSketch:
    """Collects times in seconds."""

    sketch: DDSketch = field(factory=lambda: DDSketch(RELATIVE_ACCURACY))

    def add(self, value_s: float) -> None:
        """Add one time."""
        self.sketch.add(value_s)

    def quantiles(self) -> Quantiles:
        """Return what was collected so far; zeros when nothing was."""
        count = int(self.sketch.count)
        if not count:
            return Quantiles(0, 0.0, 0.0, 0.0, 0.0)
        return Quantiles(
            count,
            self._ms(0.50),
            self._ms(0.95),
            self._ms(0.99),
            round(self.sketch.avg * MS, 3),
        )

    def _ms(self, quantile: float) -> float:
        value_s = self.sketch.get_quantile_value(quantile)
        return round((value_s or 0.0) * MS, 3)
