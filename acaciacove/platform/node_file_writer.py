"""Writes settings files in the platform's format, for stand-ins and tests."""

from acaciacove.platform.node_file import (
    BYTES_PER_MB,
    FIELDS,
    PRESSURE_CONTRACT,
)
from acaciacove.settings.gateway_settings import GatewaySettings

MS = 1000.0
MS_SUFFIX = "Ms"
SECONDS_SUFFIX = "_s"
MB_SUFFIX = "Mb"
LAST_PORT = 65_535


def write_node_file(settings: GatewaySettings) -> str:
    """Return a settings file that ``decode_node_file`` decodes to these settings."""
    lines = [
        f"{source}={_format_value(name, source, getattr(settings, name))}"
        for name, (source, _) in FIELDS.items()
    ]
    zones = settings.region_of_zone.items()
    lines += [f"zones.{name}={region}" for name, region in zones]
    return "\n".join(lines) + "\n"


def _format_value(name: str, source: str, value: object) -> str:
    if source == "contracts":
        return PRESSURE_CONTRACT if value else ""
    if isinstance(value, bool):
        return str(value).lower()
    if source.endswith(MS_SUFFIX) and name.endswith(SECONDS_SUFFIX):
        assert isinstance(value, float)
        return str(value * MS)
    if source.endswith(MB_SUFFIX):
        assert isinstance(value, int)
        return str(value / BYTES_PER_MB)
    if source == "internalPortRange":
        return f"{value},{LAST_PORT}"
    return str(value)
