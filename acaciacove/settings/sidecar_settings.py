"""Settings of one sidecar, which stands beside one endpoint instance."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class SidecarSettings:
    """Everything a sidecar knows before it starts.

    ``endpoint_url`` is the only endpoint it speaks to; ``versions`` are those the
    endpoint serves at the start. ``http_port`` serves metrics and probes only.
    """

    name: str
    region: str
    availability_zone: str
    host: str
    http_port: int
    peer_port: int
    endpoint_url: str
    versions: tuple[VersionId, ...]
    log_url: str
    instance_list_url: str
    weight_store_url: str = ""
    max_queue: int = 256
    drain_limit_s: float = 30.0
    claim_wait_s: float = 2.0
    claim_window_s: float = 86_400.0
    seed: int = 0
