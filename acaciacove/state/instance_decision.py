"""An operator's decision to take an instance out of service, or return it."""

from attrs import frozen


@frozen
class InstanceDecision:
    """Takes ``instance`` out of service, or returns it when ``out`` is false."""

    decision_id: str
    instance: str
    out: bool
    operator: str = ""
