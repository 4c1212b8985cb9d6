"""An operator's decision to take an instance out, or in again."""

from attrs import frozen


@frozen
class InstanceDecision:
    """Takes ``instance`` out, or brings it back when ``out`` is false."""

    decision_id: str
    instance: str
    out: bool
    operator: str = ""
