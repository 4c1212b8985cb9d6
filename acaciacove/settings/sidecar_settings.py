"""Settings of one sidecar, which runs next to one endpoint instance."""

from attrs import field, frozen

from acaciacove.fleet.version_id import VersionId
from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import (
    at_least,
    check,
    is_ip_address,
    is_name,
    is_port,
    is_positive,
    is_url,
    is_url_or_empty,
)
from acaciacove.settings.entry_settings import port_faults


@frozen
class SidecarSettings(CheckedSettings):
    """The configuration of a sidecar at start.

    ``endpoint_url`` is the only endpoint that the sidecar sends requests to, and
    ``versions`` are those that this endpoint serves at start. ``http_port`` serves
    metrics and probes only.
    """

    name: str = field(metadata=check(is_name))
    region: str = field(metadata=check(is_name))
    availability_zone: str = field(metadata=check(is_name))
    host: str = field(metadata=check(is_ip_address))
    http_port: int = field(metadata=check(is_port))
    peer_port: int = field(metadata=check(is_port))
    endpoint_url: str = field(metadata=check(is_url))
    versions: tuple[VersionId, ...] = field()
    log_url: str = field(metadata=check(is_url_or_empty))
    instance_list_url: str = field(metadata=check(is_url_or_empty))
    weight_store_url: str = field(default="", metadata=check(is_url_or_empty))
    max_queue: int = field(default=256, metadata=check(at_least(0)))
    drain_notice_s: float = field(default=1.0, metadata=check(at_least(0)))
    drain_limit_s: float = field(default=30.0, metadata=check(is_positive))
    claim_wait_s: float = field(default=2.0, metadata=check(is_positive))
    claim_window_s: float = field(default=86_400.0, metadata=check(is_positive))
    seed: int = 0

    def cross_field_faults(self) -> list[str]:
        """List violated constraints between fields."""
        return port_faults(self.http_port, self.peer_port)
