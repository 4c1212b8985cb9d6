"""A group of faults that a soak's plan repeats at intervals."""

from attrs import frozen

from acaciacove.soak.fault_kind import FaultKind


@frozen
class RepeatedFaults:
    """Faults of these kinds, one at a time, each for ``duration_s``.

    ``interval_s`` holds the shortest and the longest time between two of them.
    ``name`` seeds the group's own generator, so that the other faults of a plan do not
    depend on it.
    """

    name: str
    kinds: tuple[FaultKind, ...]
    interval_s: tuple[float, float]
    duration_s: float
