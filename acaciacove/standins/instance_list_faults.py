"""Faults of the instance-list stand-in."""

from attrs import define, field


@define
class InstanceListFaults:
    """What is wrong with the list.

    It shows the fleet as it was ``lag_s`` ago; it leaves out ``hidden`` names, and
    calls ``live`` those that are named in ``called_live``, whatever they are.
    """

    outage: bool = False
    lag_s: float = 0.0
    hidden: list[str] = field(factory=list)
    called_live: list[str] = field(factory=list)
