"""Settings of the admission queue."""

from attrs import frozen


@frozen
class AdmissionSettings:
    """How work waits.

    ``batch_share`` of the served tokens goes to batch work while both kinds wait.
    ``reserved_share`` of the slots stays free for organisations that run less than
    their share. ``max_queue`` counts requests.
    """

    max_queue: int = 256
    batch_share: float = 0.1
    reserved_share: float = 0.15
    default_tokens_per_s: float = 200.0
    rate_smoothing: float = 0.05
    latency_tolerance: float = 2.0
    min_limit: int = 1
