"""Record of an injected fault, for the checks."""

from attrs import define

from acaciacove.soak.fault_kind import FaultKind


@define(eq=False)
class InjectedFault:
    """One fault, with the time span during which it was in effect.

    ``subject`` is the number of a gateway, or names the endpoint, zone, key, request
    body or log that the fault applied to. ``until_s`` is infinite until the
    fault is undone.
    """

    kind: FaultKind
    subject: int | str
    from_s: float
    until_s: float = float("inf")
