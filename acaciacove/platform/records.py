"""Records of the platform's log, decoded into the gateway's types."""

import math
from collections.abc import Callable
from typing import Any, TypeVar

import orjson

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
STATE_NAMES = {state: word for word, state in STATES.items()}
IS_DRAINING = {"ready": False, "draining": True}
# Used where a route says nothing; the operator's catalogues always do.
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_MS = 1_000.0


def read_decision(record: LogRecord) -> OperatorDecision | None:
    """Decode an operator's record; None for keys that decide nothing here."""
    if record.key == names.CATALOGUE_KEY:
        return _decode(_catalogue, record)
    if record.key.startswith(names.ROLLOUT_KEY):
        return _decode(_rollout, record)
    zone = removed_zone(record.key)
    return ZoneOut(zone) if zone else None


def removed_zone(key: str) -> str | None:
    """Return the zone that a key takes out."""
    return _without_prefix(names.ZONE_OUT_KEY, key)


def removed_rollout(key: str) -> str | None:
    """Return the service that a key's order is about."""
    return _without_prefix(names.ROLLOUT_KEY, key)


def _without_prefix(prefix: str, key: str) -> str | None:
    return key[len(prefix) :] or None if key.startswith(prefix) else None


def _decode(
    read: Callable[[dict[str, Any], LogRecord], Document], record: LogRecord
) -> Document:
    """Read a document; whatever is wrong with it is one kind of error."""
    try:
        document = orjson.loads(record.value or b"")
        return read(document, record)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedMessageError(f"{record.key}: {error!r}") from error


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
    usual = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(document.get("maxHeaderBytes", usual.max_header_bytes)),
        max_body_bytes=int(document.get("maxBodyBytes", usual.max_body_bytes)),
        header_timeout_s=_seconds(document, "headerTimeoutMs", usual.header_timeout_s),
        idle_timeout_s=_seconds(document, "idleTimeoutMs", usual.idle_timeout_s),
    )


def _seconds(document: dict[str, Any], name: str, default_s: float) -> float:
    value = document.get(name)
    return default_s if value is None else float(value) / MS


def _rollout(document: dict[str, Any], record: LogRecord) -> RolloutSpec:
    return RolloutSpec(
        service=document["service"],
        target=document["target"],
        duration_s=float(document["durationS"]),
    )


def read_endpoint(record: LogRecord) -> EndpointReport:
    """Decode a heartbeat; other writers' records are refused as malformed."""
    return _decode(_endpoint, record)


def _endpoint(document: dict[str, Any], record: LogRecord) -> EndpointReport:
    host, _, port = _text(document, "address").rpartition(":")
    cold_ms = document.get("coldRemainingMs", 0)
    if not isinstance(cold_ms, int | float) or not math.isfinite(cold_ms):
        raise ValueError("coldRemainingMs is no number")
    slots = document.get("slots", 0)
    if not isinstance(slots, int):
        raise ValueError("slots is no whole number")
    if not host or not record.key:
        raise ValueError("no address")
    return EndpointReport(
        instance=record.key,
        # The Unix millisecond of the endpoint's start; other words for a life of
        # an instance are not told by the platform.
        incarnation=str(document.get("born", "")),
        service=_text(document, "service"),
        host=host,
        port=int(port),
        availability_zone=_text(document, "zone"),
        version=_text(document, "version"),
        slots=slots,
        draining=IS_DRAINING[_text(document, "state")],
        cold_remaining_s=max(0.0, cold_ms / MS),
    )


def _text(document: dict[str, Any], name: str) -> str:
    value = document[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is no text")
    return value


def read_outcome(record: LogRecord) -> RolloutStatus | None:
    """Decode the recorded state of a roll-out."""
    service = removed_rollout(record.key)
    if service is None or record.value is None:
        return None
    return _decode(_outcome, record)


def _outcome(document: dict[str, Any], record: LogRecord) -> RolloutStatus:
    return RolloutStatus(
        service=record.key[len(names.ROLLOUT_KEY) :],
        target=document["target"],
        state=STATES[document["state"]],
        revision=record.offset,
    )


def write_outcome(status: RolloutStatus) -> tuple[str, bytes]:
    """Return key and value of a roll-out's state."""
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
