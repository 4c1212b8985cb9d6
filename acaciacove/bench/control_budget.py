"""What control may cost."""

from attrs import frozen


@frozen
class ControlBudget:
    """Limits for one node, and for the appends of the whole fleet."""

    core_share: float = 0.03
    memory_bytes: int = 32_000_000
    bytes_per_s: float = 3000.0
    appends_per_s: float = 300.0
    in_force_s: float = 3.0
