"""Decodes records of the platform's log into the gateway's types."""

from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from acaciacove.checked_fields import (
    check_name,
    read_address,
    read_name,
    read_number,
    read_whole_number,
)
from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.rollout_status import RolloutStatus
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.catalogue.service_share import ServiceShare
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.operator_decision import (
    OperatorDecision,
    RolloutSpec,
    ZoneOut,
)
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.rollout.rollout_state import RolloutState
from acaciacove.platform import names

Document = TypeVar("Document")
MS = 1000.0
REPETITIONS = {
    "idempotent": Repetition.REPEATABLE,
    "streaming": Repetition.STREAMING,
}
STATES = {
    "in_progress": RolloutState.IN_PROGRESS,
    "completed": RolloutState.COMPLETED,
    "rolled_back": RolloutState.ROLLED_BACK,
}
STATE_NAMES = {state: name for name, state in STATES.items()}
IS_DRAINING = {"ready": False, "draining": True}
# An endpoint that has just become warm may report a time that is over.
LOWEST_COLD_MS = -1_000.0
MAX_SLOTS = 1_000_000
# What reading a field of the wrong type or range raises. OverflowError is the one of a
# number that the target type does not hold.
DECODING_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError)
# Defaults for routes without these fields; operators' catalogues always have them.
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_MS = 1_000.0


def read_decision(record: LogRecord) -> OperatorDecision | None:
    """Decode an operator's record; None for keys that a gateway does not use."""
    if record.key == names.CATALOGUE_KEY:
        return _decode(_catalogue, record)
    if record.key.startswith(names.ROLLOUT_KEY):
        return _decode(_rollout, record)
    zone = removed_zone(record.key)
    return ZoneOut(zone) if zone else None


def removed_zone(key: str) -> str | None:
    """Return the zone that a zone-out key names; None for other keys."""
    return _without_prefix(names.ZONE_OUT_KEY, key)


def removed_rollout(key: str) -> str | None:
    """Return the service that a roll-out key names; None for other keys."""
    return _without_prefix(names.ROLLOUT_KEY, key)


def _without_prefix(prefix: str, key: str) -> str | None:
    return key[len(prefix) :] or None if key.startswith(prefix) else None


def _decode(
    read: Callable[[dict[str, Any], LogRecord], Document], record: LogRecord
) -> Document:
    """Decode a record with ``read``; any fault raises MalformedMessageError."""
    try:
        document = orjson.loads(record.value or b"")
        return read(document, record)
    except DECODING_ERRORS as error:
        raise MalformedMessageError(
            f"malformed record {record.key!r} at offset {record.offset}: {error!r}"
        ) from error


def _catalogue(document: dict[str, Any], record: LogRecord) -> Catalogue:
    tenants = document.get("tenants")
    return Catalogue(
        revision=record.offset,
        version=int(document["version"]),
        routes=tuple(_route(route) for route in document["routes"]),
        services={s["name"]: _service(s) for s in document["services"]},
        organisations={
            key: _organisation(tenant)
            for tenant in tenants or ()
            for key in tenant.get("apiKeys", ())
        },
        has_organisations=tenants is not None,
        limits=_limits(document.get("limits") or {}),
    )


def _route(document: dict[str, Any]) -> Route:
    return Route(
        name=document["name"],
        host=document["host"],
        path_prefix=document["pathPrefix"],
        shares=_shares(document),
        repetition=REPETITIONS.get(document["kind"], Repetition.ONCE),
        timeout_s=float(document.get("timeoutMs") or DEFAULT_TIMEOUT_MS) / MS,
        latency_target_s=float(document.get("targetLatencyMs") or DEFAULT_TARGET_MS)
        / MS,
        max_attempts=max(1, int(document.get("maxAttempts") or 1)),
        priority=int(document.get("priority") or 0),
        anonymous=bool(document.get("anonymousAccess")),
        session_affinity=bool(document.get("sessionAffinity")),
        resumable=bool(document.get("streamResumption")),
        model_sizes=tuple(document.get("sizes") or ()),
        allowed_regions=frozenset(document.get("allowedRegions") or ()),
    )


def _shares(document: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = document.get("trafficSplit")
    if not split:
        return (ServiceShare(document["service"], 1.0),)
    return tuple(ServiceShare(s["service"], float(s["weight"])) for s in split)


def _service(document: dict[str, Any]) -> Service:
    engine = document.get("inferenceEngine") or {}
    return Service(
        name=document["name"],
        connection_limit=int(document.get("connectionLimit") or 0),
        cold_start_s=float(document.get("coldStartS") or 0.0),
        cold_rate_per_s=float(document.get("coldPerS") or 0.0),
        slots=int(engine.get("slots") or 0),
        model_costs={
            m["name"]: float(m["cost"])
            for m in engine.get("models", ())
            if isinstance(m.get("cost"), int | float) and m["cost"] >= 0
        },
    )


def _organisation(document: dict[str, Any]) -> Organisation:
    return Organisation(
        name=document["name"],
        priority=document.get("priority"),
        allowed_regions=frozenset(document.get("allowedRegions") or ()),
    )


def _limits(document: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(document.get("maxHeaderBytes", defaults.max_header_bytes)),
        max_body_bytes=int(document.get("maxBodyBytes", defaults.max_body_bytes)),
        header_timeout_s=_seconds(
            document, "headerTimeoutMs", defaults.header_timeout_s
        ),
        idle_timeout_s=_seconds(document, "idleTimeoutMs", defaults.idle_timeout_s),
    )


def _seconds(document: dict[str, Any], name: str, default_s: float) -> float:
    value = document.get(name)
    return default_s if value is None else float(value) / MS


def _rollout(document: dict[str, Any], record: LogRecord) -> RolloutSpec:
    return RolloutSpec(
        service=read_name(document, "service"),
        target=read_name(document, "target"),
        duration_s=read_number(document, "durationS", 0.0),
    )


def read_endpoint(record: LogRecord) -> EndpointReport:
    """Decode a heartbeat; records of other writers raise MalformedMessageError."""
    return _decode(_endpoint, record)


def _endpoint(document: dict[str, Any], record: LogRecord) -> EndpointReport:
    host, port = read_address(document, "address")
    cold_ms = read_number(document, "coldRemainingMs", LOWEST_COLD_MS)
    return EndpointReport(
        instance=check_name(record.key, "key"),
        # Platforms state it since endpoints start again under the same name.
        started_ms=read_whole_number(document, "born", default=0),
        service=read_name(document, "service"),
        host=host,
        port=port,
        availability_zone=read_name(document, "zone"),
        version=read_name(document, "version"),
        slots=read_whole_number(document, "slots", highest=MAX_SLOTS),
        draining=IS_DRAINING[read_name(document, "state")],
        cold_remaining_s=max(0.0, cold_ms / MS),
        sequence=read_whole_number(document, "sequence"),
    )


def read_outcome(record: LogRecord) -> RolloutStatus | None:
    """Decode the recorded outcome of a roll-out; None if there is none."""
    service = removed_rollout(record.key)
    if service is None or record.value is None:
        return None
    return _decode(_outcome, record)


def _outcome(document: dict[str, Any], record: LogRecord) -> RolloutStatus:
    return RolloutStatus(
        service=record.key[len(names.ROLLOUT_KEY) :],
        target=read_name(document, "target"),
        state=STATES[document["state"]],
        revision=record.offset,
    )


def write_outcome(status: RolloutStatus) -> tuple[str, bytes]:
    """Return the key and value of the record of a roll-out's outcome."""
    document = {
        "service": status.service,
        "target": status.target,
        "state": STATE_NAMES[status.state],
    }
    return names.ROLLOUT_KEY + status.service, orjson.dumps(document)


CODEC = RecordCodec(
    read_decision=read_decision,
    removed_zone=removed_zone,
    removed_rollout=removed_rollout,
    read_endpoint=read_endpoint,
    read_outcome=read_outcome,
    write_outcome=write_outcome,
)
