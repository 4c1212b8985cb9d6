"""An operator's decision to take an availability zone out, or in again."""

from attrs import frozen


@frozen
class ZoneDecision:
    """Takes ``availability_zone`` out, or brings it back when ``out`` is false."""

    decision_id: str
    availability_zone: str
    out: bool
    operator: str = ""
