"""Settings of ``gateways``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings
from acaciacove.settings.checks import check, is_positive
from acaciacove.settings.gateway_settings import is_ip_and_port

SEPARATOR = ","


def split_addresses(words: tuple[str, ...]) -> tuple[str, ...]:
    """Return the addresses in words that are separated by commas, each once."""
    parts = [part.strip() for word in words for part in word.split(SEPARATOR)]
    return tuple(dict.fromkeys(filter(None, parts)))


def are_ips_and_ports(words: tuple[str, ...]) -> str | None:
    """Accept addresses IP:PORT; the fault names every address that is none."""
    addresses = split_addresses(words)
    if not addresses:
        return "must name a gateway as IP:PORT"
    faults = [_address_fault(address) for address in addresses]
    return "; ".join(filter(None, faults)) or None


def _address_fault(address: str) -> str | None:
    host, _, port = address.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    fault = is_ip_and_port(f"{host[1:-1]}:{port}" if is_bracketed else address)
    if fault is None and not int(port):
        fault = "must be a port from 1 on, not 0"
    return None if fault is None else f"{address!r}: {fault}"


@frozen
class GatewaysSettings(CheckedSettings):
    """The gateways to query, and the seconds that each may take to answer."""

    addresses: tuple[str, ...] = field(metadata=check(are_ips_and_ports))
    timeout_s: float = field(default=2.0, metadata=check(is_positive))
    json: bool = False
