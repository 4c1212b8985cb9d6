"""Settings of one entry instance."""

from attrs import frozen


@frozen
class EntrySettings:
    """Everything an entry knows before it starts.

    Callers speak HTTP to ``host:http_port``, other processes of the system speak
    to ``host:peer_port`` (TCP for messages, UDP for digests). The URLs name
    platform services; an empty one switches that service off.
    """

    name: str
    region: str
    availability_zone: str
    host: str
    http_port: int
    peer_port: int
    log_url: str
    instance_list_url: str
    rating_url: str = ""
    default_deadline_s: float = 30.0
    drain_limit_s: float = 30.0
    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 16_384
    subset_size: int = 24
    retry_share: float = 0.1
    hedge_share: float = 0.02
    session_secret: str = ""
    seed: int = 0
