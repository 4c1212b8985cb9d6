"""When to send a second attempt while the first still runs."""

from attrs import define, field
from ddsketch import DDSketch

from acaciacove.decisions.budget import Budget

HEDGE_QUANTILE = 0.95
MIN_SAMPLES = 50
SKETCH_ACCURACY = 0.02
ROTATE_SAMPLES = 5_000


@define
class HedgeDelays:
    """First-token latencies per request class, and the delay before a hedge."""

    _current: dict[str, DDSketch] = field(factory=dict)
    _previous: dict[str, DDSketch] = field(factory=dict)

    def record(self, request_class: str, first_token_s: float) -> None:
        """Count the latency of a first attempt."""
        sketch = self._current.get(request_class)
        if sketch is None:
            sketch = self._current[request_class] = DDSketch(SKETCH_ACCURACY)
        sketch.add(first_token_s)
        if sketch.count >= ROTATE_SAMPLES:
            self._previous[request_class] = self._current.pop(request_class)

    def delay_s(self, request_class: str) -> float | None:
        """Return how long to wait for a first token; None while unknown."""
        sketch = self._previous.get(request_class) or self._current.get(request_class)
        if sketch is None or sketch.count < MIN_SAMPLES:
            return None
        return float(sketch.get_quantile_value(HEDGE_QUANTILE))


def should_hedge(
    waited_s: float,
    delay_s: float | None,
    idempotent: bool,
    time_left_s: float,
    budget: Budget,
) -> bool:
    """Tell whether to send a second attempt now; spends the budget if so.

    A call that may not be repeated is never hedged: both attempts could take effect.
    """
    if not idempotent or delay_s is None or waited_s < delay_s:
        return False
    if time_left_s < delay_s:
        return False
    return budget.spend()
