"""State of the weight-store stand-in."""

from attrs import define, field

from acaciacove.standins.weight_store_faults import WeightStoreFaults


@define
class WeightStoreState:
    """Hands out one load every ``load_interval_s``; permits queue up."""

    faults: WeightStoreFaults = field(factory=WeightStoreFaults)
    load_interval_s: float = 1.0
    next_at_s: float = 0.0
    permits: dict[str, int] = field(factory=dict)

    def acquire(self, weights: str, now_s: float) -> float:
        """Book the next free place and return the seconds until it."""
        start_at_s = max(self.next_at_s, now_s)
        self.next_at_s = start_at_s + self.load_interval_s
        self.permits[weights] = self.permits.get(weights, 0) + 1
        return start_at_s - now_s
