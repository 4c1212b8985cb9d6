"""The result of a promise run."""

from attrs import field, frozen


@frozen
class PromisesReport:
    """What was asked, what failed on purpose, and what was checked.

    ``violations`` has one count for each promise, all of them 0 in a sound run.
    ``details`` tells of the first violations. ``virtual_s`` is the time that passed
    on the run's own clock.
    """

    seed: int
    rounds: int
    broken: str
    requests: int
    virtual_s: float
    outcomes: dict[str, int] = field(factory=dict)
    faults: dict[str, int] = field(factory=dict)
    checks: dict[str, int] = field(factory=dict)
    violations: dict[str, int] = field(factory=dict)
    details: tuple[str, ...] = ()

    @property
    def kept(self) -> bool:
        """Tell whether no promise was found broken."""
        return not any(self.violations.values())
