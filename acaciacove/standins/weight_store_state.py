"""State of the weight-store stand-in."""

from attrs import define, field

from acaciacove.standins.weight_store_faults import WeightStoreFaults


@define
class WeightStoreState:
    """Grants one load per ``load_interval_s``; earlier callers have to retry."""

    faults: WeightStoreFaults = field(factory=WeightStoreFaults)
    load_interval_s: float = 1.0
    next_at_s: float = 0.0
    acquire_calls: int = 0
    permits: dict[str, int] = field(factory=dict)

    def acquire(self, weights: str, now_s: float) -> float:
        """Grant a load and return 0, or return the seconds until the next grant."""
        self.acquire_calls += 1
        if now_s < self.next_at_s:
            return self.next_at_s - now_s
        self.next_at_s = now_s + self.load_interval_s
        self.permits[weights] = self.permits.get(weights, 0) + 1
        return 0.0
