"""Settings of one entry instance."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import (
    at_least,
    check,
    is_ip_address,
    is_name,
    is_port,
    is_positive,
    is_secret,
    is_share,
    is_url_or_empty,
)


@frozen
class EntrySettings(CheckedSettings):
    """The configuration of an entry at start.

    The entry serves HTTP for callers on ``host:http_port``, and other processes of
    the system on ``host:peer_port`` (TCP for messages, UDP for digests). The URLs
    are those of platform services; an empty URL disables the service.
    """

    name: str = field(metadata=check(is_name))
    region: str = field(metadata=check(is_name))
    availability_zone: str = field(metadata=check(is_name))
    host: str = field(metadata=check(is_ip_address))
    http_port: int = field(metadata=check(is_port))
    peer_port: int = field(metadata=check(is_port))
    log_url: str = field(metadata=check(is_url_or_empty))
    instance_list_url: str = field(metadata=check(is_url_or_empty))
    rating_url: str = field(default="", metadata=check(is_url_or_empty))
    default_deadline_s: float = field(default=30.0, metadata=check(is_positive))
    drain_notice_s: float = field(default=1.0, metadata=check(at_least(0)))
    drain_limit_s: float = field(default=30.0, metadata=check(is_positive))
    max_body_bytes: int = field(default=1_000_000, metadata=check(at_least(1)))
    max_header_bytes: int = field(default=16_384, metadata=check(at_least(1)))
    subset_size: int = field(default=24, metadata=check(at_least(1)))
    retry_share: float = field(default=0.1, metadata=check(is_share))
    hedge_share: float = field(default=0.02, metadata=check(is_share))
    rating_share: float = field(default=0.1, metadata=check(is_share))
    session_secret: str = field(default="", repr=False, metadata=check(is_secret))
    seed: int = 0

    def cross_field_faults(self) -> list[str]:
        """List violated constraints between fields."""
        return port_faults(self.http_port, self.peer_port)


def port_faults(http_port: int, peer_port: int) -> list[str]:
    """Refuse the same port for two listeners: the second could not bind to it."""
    if http_port and http_port == peer_port:
        return [f"http_port and peer_port must differ, both are {http_port}"]
    return []
