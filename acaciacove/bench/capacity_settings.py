"""Settings of the capacity measurements."""

from attrs import frozen

from acaciacove.bench.control_budget import ControlBudget
from acaciacove.bench.design_size import DesignSize


@frozen
class CapacitySettings:
    """What to project to, and whether to start processes for the data path."""

    seed: int = 1
    relay: bool = True
    size: DesignSize = DesignSize()
    budget: ControlBudget = ControlBudget()
