"""Decodes the platform's settings file of one process."""

import os
from collections.abc import Callable, Mapping
from math import isfinite
from pathlib import Path
from typing import Any

from acaciacove.errors import InvalidSettingsError
from acaciacove.settings.gateway_settings import GatewaySettings

MS = 1000.0
# The platform's file has no field for these settings. ``acaciacove.`` in a field's name
# keeps it apart from fields that the platform may add.
ENVIRONMENT_FIELDS = {"ACACIACOVE_OTHER_ZONE_MS": "acaciacove.otherZoneMs"}
BYTES_PER_MB = 1_000_000
# The contract of a platform under load, which calls for overload control.
PRESSURE_CONTRACT = "pressure"


def read_node_file(
    path: Path, environment: Mapping[str, str] = os.environ
) -> GatewaySettings:
    """Read a file of ``a.b=value`` lines; raises InvalidSettingsError with all faults.

    Unknown fields are ignored, because the platform may add new ones. The variables in
    ``ENVIRONMENT_FIELDS`` take precedence over the file; empty ones count as not set.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettingsError([f"cannot read {path}: {error}"]) from error
    return decode_node_file(text, environment)


def decode_node_file(
    text: str, environment: Mapping[str, str] | None = None
) -> GatewaySettings:
    """Decode the text of a settings file; raises InvalidSettingsError.

    ``environment`` holds the variables that take precedence over the file.
    """
    lines = (line.partition("=") for line in text.splitlines())
    fields = {name.strip(): value.strip() for name, found, value in lines if found}
    given_as: dict[str, str] = {}
    for variable, source in ENVIRONMENT_FIELDS.items():
        if environment and environment.get(variable):
            fields[source] = environment[variable]
            given_as[source] = variable
    faults: list[str] = []
    values = {
        name: _value(fields, source, convert, faults, given_as)
        for name, (source, convert) in FIELDS.items()
        if source in fields or name in _REQUIRED
    }
    values["region_of_zone"] = {
        name.removeprefix("zones."): region
        for name, region in fields.items()
        if name.startswith("zones.")
    }
    if faults:
        raise InvalidSettingsError(faults)
    return GatewaySettings(**values)


def _value(
    fields: Mapping[str, str],
    source: str,
    convert: Callable[[str], Any],
    faults: list[str],
    given_as: Mapping[str, str],
) -> Any:
    if source not in fields:
        faults.append(f"{source} is missing")
        return None
    try:
        return convert(fields[source])
    except ValueError:
        name = given_as.get(source, source)
        faults.append(f"{name} cannot be read: {fields[source]!r}")
        return None


def _seconds(text: str) -> float:
    return float(text) / MS


def _megabytes(text: str) -> int:
    """Return bytes; raises ValueError, also for infinity."""
    megabytes = float(text)
    if not isfinite(megabytes):
        raise ValueError(text)
    return round(megabytes * BYTES_PER_MB)


def _count(text: str) -> int:
    """Return a whole number; raises ValueError, also for infinity."""
    number = float(text)
    if not isfinite(number):
        raise ValueError(text)
    return int(number)


def _flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(text)
    return text == "true"


def _has_pressure(text: str) -> bool:
    return PRESSURE_CONTRACT in (word.strip() for word in text.split(","))


def _first_port(text: str) -> int:
    return int(text.split(",")[0])


FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "name": ("nodeName", str),
    "availability_zone": ("zone", str),
    "region": ("region", str),
    "host": ("ipAddress", str),
    "front_address": ("listenAddresses.frontend", str),
    "readiness_address": ("listenAddresses.readiness", str),
    "peer_port": ("internalPortRange", _first_port),
    "log_address": ("platform.address", str),
    "grace_s": ("bounds.gracePeriodS", float),
    "revocation_s": ("bounds.revocationMs", _seconds),
    "revocation_strict": ("bounds.revocationStrict", _flag),
    "retry_ratio": ("bounds.retryBudgetRatio", float),
    "retry_window_s": ("bounds.retryWindowS", float),
    "retry_extra": ("bounds.retryBudgetExtra", float),
    "exposure_share": ("bounds.exposureShare", float),
    "exposure_extra": ("bounds.exposureTolerance", float),
    "cold_overage": ("bounds.coldOverage", float),
    "cold_extra": ("bounds.coldTolerance", float),
    "propagation_s": ("bounds.configPropagationMs", _seconds),
    "drain_s": ("bounds.drainTimeoutMs", _seconds),
    "heartbeat_s": ("heartbeatIntervalMs", _seconds),
    "session_life_s": ("bounds.sessionTtlS", float),
    "other_zone_ms": ("acaciacove.otherZoneMs", float),
    "descriptor_limit": ("limits.fileDescriptors", _count),
    "memory_limit_bytes": ("limits.memoryLimitMb", _megabytes),
    "overload_control": ("contracts", _has_pressure),
}
_REQUIRED = frozenset(
    {
        "name",
        "availability_zone",
        "region",
        "host",
        "front_address",
        "readiness_address",
        "peer_port",
        "log_address",
    }
)
