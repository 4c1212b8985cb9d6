"""An operator's decision to take an availability zone out of service, or return it."""

from attrs import frozen


@frozen
class ZoneDecision:
    """Takes a zone out of service, or returns it when ``out`` is false."""

    decision_id: str
    availability_zone: str
    out: bool
    operator: str = ""
