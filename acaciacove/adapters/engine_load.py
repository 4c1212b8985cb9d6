"""Load report of an engine."""

from attrs import frozen


@frozen
class EngineLoad:
    """Load counts, possibly stale; ``restarts`` increases at each engine restart."""

    in_flight: int
    queued: int
    cold: bool
    versions: tuple[str, ...] = ()
    role: str = ""
    restarts: int = 0
