"""Encodes the log records of operators and endpoints, for stand-ins and tests.

``acaciacove.platform.records`` decodes these records to the same values.
"""

from typing import Any

import orjson

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.operator_decision import RolloutSpec
from acaciacove.platform.records import MS

KIND_NAMES = {
    Repetition.REPEATABLE: "idempotent",
    Repetition.ONCE: "non_idempotent",
    Repetition.STREAMING: "streaming",
}


def write_catalogue(catalogue: Catalogue) -> bytes:
    """Encode a catalogue record."""
    keys: dict[str, list[str]] = {}
    for key, organisation in catalogue.organisations.items():
        keys.setdefault(organisation.name, []).append(key)
    priorities = {o.name: o.priority for o in catalogue.organisations.values()}
    document: dict[str, Any] = {
        "version": catalogue.version,
        "routes": [_route(route) for route in catalogue.routes],
        "services": [_service(service) for service in catalogue.services.values()],
        "limits": _limits(catalogue.limits),
    }
    if catalogue.has_organisations:
        document["tenants"] = [
            {"name": name, "apiKeys": api_keys, "priority": priorities[name]}
            for name, api_keys in keys.items()
        ]
    return orjson.dumps(document)


def _route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": KIND_NAMES[route.repetition],
        "timeoutMs": route.timeout_s * MS,
        "targetLatencyMs": route.latency_target_s * MS,
        "maxAttempts": route.max_attempts,
        "priority": route.priority,
        "anonymousAccess": route.anonymous,
        "sessionAffinity": route.session_affinity,
        "streamResumption": route.resumable,
        "sizes": list(route.model_sizes),
        "allowedRegions": sorted(route.allowed_regions),
        "trafficSplit": [
            {"service": share.service, "weight": share.weight} for share in route.shares
        ],
    }


def _service(service: Service) -> dict[str, Any]:
    document: dict[str, Any] = {
        "name": service.name,
        "connectionLimit": service.connection_limit,
        "coldStartS": service.cold_start_s,
        "coldPerS": service.cold_rate_per_s,
    }
    if service.model_costs:
        document["inferenceEngine"] = {
            "slots": service.slots,
            "models": [
                {"name": name, "cost": cost}
                for name, cost in service.model_costs.items()
            ],
        }
    return document


def _limits(limits: CallerLimits) -> dict[str, Any]:
    return {
        "maxHeaderBytes": limits.max_header_bytes,
        "maxBodyBytes": limits.max_body_bytes,
        "headerTimeoutMs": limits.header_timeout_s * MS,
        "idleTimeoutMs": limits.idle_timeout_s * MS,
    }


def write_endpoint(report: EndpointReport) -> bytes:
    """Encode the record of an endpoint's heartbeat."""
    return orjson.dumps(
        {
            "service": report.service,
            "address": f"{report.host}:{report.port}",
            "zone": report.availability_zone,
            "version": report.version,
            "slots": report.slots,
            "state": "draining" if report.draining else "ready",
            "coldRemainingMs": report.cold_remaining_s * MS,
            "born": report.started_ms,
            "sequence": report.sequence,
        }
    )


def write_rollout(spec: RolloutSpec) -> bytes:
    """Encode the record that orders a roll-out."""
    return orjson.dumps(
        {
            "service": spec.service,
            "target": spec.target,
            "durationS": spec.duration_s,
        }
    )
