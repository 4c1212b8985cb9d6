"""Slopes, projected totals beside their budgets, and what is over budget."""

from typing import Any

import attrs
from attrs import frozen

from acaciacove.bench.budget_line import BudgetLine
from acaciacove.bench.capacity_settings import CapacitySettings
from acaciacove.bench.capacity_slopes import CapacitySlopes


@frozen
class CapacityReport:
    """The result of ``measure_capacity``; ``facts`` have no budget."""

    settings: CapacitySettings
    slopes: CapacitySlopes
    projected: tuple[BudgetLine, ...]
    facts: dict[str, float]

    @property
    def over_budget(self) -> list[str]:
        """Name the projected figures that exceed their budgets."""
        return [f"{line.role}: {line.name}" for line in self.projected if line.over]

    def document(self) -> dict[str, Any]:
        """Return plain values for JSON."""
        return {
            "size": attrs.asdict(self.settings.size),
            "slopes": attrs.asdict(self.slopes),
            "projected": [
                {**attrs.asdict(line), "over": line.over} for line in self.projected
            ],
            "facts": self.facts,
            "over_budget": self.over_budget,
        }
