"""One projected figure beside its budget."""

from attrs import frozen


@frozen
class BudgetLine:
    """A projected value; ``over`` tells whether it exceeds its budget."""

    role: str
    name: str
    value: float
    budget: float
    unit: str

    @property
    def over(self) -> bool:
        """Tell whether the value exceeds the budget."""
        return self.value > self.budget
