"""A fault as it was played, for the checks."""

from attrs import define

from acaciacove.soak.fault_kind import FaultKind


@define(eq=False)
class InjectedFault:
    """``subject`` is the number of a gateway, or the name of what was met.

    ``until_s`` is infinite until the fault is undone.
    """

    kind: FaultKind
    subject: int | str
    from_s: float
    until_s: float = float("inf")
