"""What an endpoint bears just now, carried on every answer of its sidecar."""

from attrs import frozen


@frozen
class Load:
    """What an endpoint bears just now, carried on every answer of its sidecar.

    ``limit`` is how many requests the sidecar admits at once; ``queue_delay_s`` is
    what the last admitted request waited, ``service_s`` a smoothed time to answer one.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    cold: bool = False
    queue_delay_s: float = 0.0
    service_s: float = 0.0
