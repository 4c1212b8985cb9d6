"""State of the plain-service stand-in."""

from collections import Counter

from attrs import define, field

from acaciacove.standins.service_faults import ServiceFaults


@define
class ServiceState:
    """Counts of all effects; the service does not deduplicate by itself."""

    faults: ServiceFaults = field(factory=ServiceFaults)
    effects_by_key: Counter[str] = field(factory=Counter)
    effects_by_reference: Counter[str] = field(factory=Counter)
    effects: int = 0
    calls: int = 0

    def record_effect(self, key: str, reference: str) -> int:
        """Count one effect and return its number."""
        self.effects += 1
        if key:
            self.effects_by_key[key] += 1
        if reference:
            self.effects_by_reference[reference] += 1
        return self.effects
