"""Faults of the instance-list stand-in."""

from attrs import define, field


@define
class InstanceListFaults:
    """Outage, delay and errors of the list.

    The list is ``lag_s`` old. It omits the instances named in ``hidden`` and reports
    those named in ``called_live`` as live, whatever their status is.
    """

    outage: bool = False
    lag_s: float = 0.0
    hidden: list[str] = field(factory=list)
    called_live: list[str] = field(factory=list)
