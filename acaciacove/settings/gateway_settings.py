"""Settings of one gateway."""

from attrs import field, frozen

from acaciacove.checked_fields import MAX_PORT_DIGITS, MAX_QUOTED_CHARS
from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import (
    at_least,
    check,
    is_ip_address,
    is_name,
    is_port,
    is_positive,
    is_share,
)


def is_ip_and_port(value: str) -> str | None:
    """Accept an IP address and a port, written IP:PORT."""
    host, _, port = value.rpartition(":")
    # A longer one may have more digits than a whole number is converted from.
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number:
        return f"must be written IP:PORT, not {value[:MAX_QUOTED_CHARS]!r}"
    return is_ip_address(host) or is_port(int(port))


@frozen
class GatewaySettings(CheckedSettings):
    """The configuration of a gateway at start.

    The guarantees to operators (``revocation_s`` and the fields below it) are bounds
    on all gateways together. How a single gateway stays within them is decided in
    ``acaciacove.gateway``.

    ``propagation_s`` is the time within which a decision is in force everywhere.
    ``drain_s`` is the time after which a draining endpoint is sent no more requests.
    Endpoints send a heartbeat every ``heartbeat_s``; their entries expire after three
    missed heartbeats.

    ``answer_value_per_1k_tokens`` is the value of a good answer per 1,000 tokens that
    it is charged for, in the unit of the catalogue's prices. A model's price is
    weighed against it. ``other_zone_ms`` is the cost of a request to an endpoint in
    another zone, in milliseconds of waiting, apart from about 1 ms of network latency:
    traffic between zones is billed. At 0 all zones cost the same. ``region_of_zone``
    maps each availability zone to its region.
    ``descriptor_limit`` is the number of files and sockets that the process may have
    open, and ``memory_limit_bytes`` the memory that it may use; 0 sets no limit. A
    quarter of the memory is the limit of the bytes held for callers and endpoints.
    Metrics are served on ``host:metrics_port``; the default is a port that Prometheus
    exporters commonly use. With ``overload_control``, requests are refused while waits
    exceed what the routes in use need.
    """

    name: str = field(metadata=check(is_name))
    availability_zone: str = field(metadata=check(is_name))
    region: str = field(metadata=check(is_name))
    host: str = field(metadata=check(is_ip_address))
    front_address: str = field(metadata=check(is_ip_and_port))
    readiness_address: str = field(metadata=check(is_ip_and_port))
    peer_port: int = field(metadata=check(is_port))
    log_address: str = field(metadata=check(is_ip_and_port))
    metrics_port: int = field(default=9464, metadata=check(is_port))
    region_of_zone: dict[str, str] = {}
    grace_s: float = field(default=8.0, metadata=check(is_positive))
    revocation_s: float = field(default=5.0, metadata=check(is_positive))
    revocation_strict: bool = True
    retry_ratio: float = field(default=0.2, metadata=check(at_least(0)))
    retry_window_s: float = field(default=10.0, metadata=check(is_positive))
    retry_extra: float = field(default=10.0, metadata=check(at_least(0)))
    exposure_share: float = field(default=0.1, metadata=check(is_share))
    exposure_extra: float = field(default=10.0, metadata=check(at_least(0)))
    cold_overage: float = field(default=1.2, metadata=check(at_least(0)))
    cold_extra: float = field(default=0.0, metadata=check(at_least(0)))
    answer_value_per_1k_tokens: float = field(default=1.0, metadata=check(is_positive))
    other_zone_ms: float = field(default=200.0, metadata=check(at_least(0)))
    propagation_s: float = field(default=2.0, metadata=check(is_positive))
    drain_s: float = field(default=2.0, metadata=check(is_positive))
    heartbeat_s: float = field(default=1.2, metadata=check(is_positive))
    overload_control: bool = False
    session_life_s: float = field(default=5.0, metadata=check(is_positive))
    descriptor_limit: int = field(default=0, metadata=check(at_least(0)))
    memory_limit_bytes: int = field(default=0, metadata=check(at_least(0)))

    @property
    def metrics_address(self) -> str:
        """The address at which metrics are served, as IP:PORT."""
        return f"{self.host}:{self.metrics_port}"
