"""Builds the report on what one gateway knows of demand and spare capacity."""

import asyncio
import math
from collections import Counter, defaultdict

import orjson
from attrs import asdict, frozen

from acaciacove.decisions.endpoint_backlog import baseline_wait_s
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_condition import EndpointCondition, endpoint_condition
from acaciacove.gateway.endpoint_status import EndpointStatus
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.service_status import ServiceStatus
from acaciacove.gateway.traffic import by_reason

DIGITS = 3


@frozen
class GatewayStatus:
    """What one gateway knows; it holds no API key, body or header value.

    ``revision`` is the log offset of the newest decision, and ``gateways`` are the
    names of this one and of all others that are or may be alive. ``uptime_s`` and the
    ages are None if unknown. ``unrouted_refusals`` counts refusals of requests for
    which no service was found. ``overload_refusals`` counts refusals for overload by
    organisation, for those with the most. All counts are since the start.
    """

    name: str
    zone: str
    revision: int
    ready: bool
    leaving: bool
    gateways: tuple[str, ...]
    services: tuple[ServiceStatus, ...]
    unrouted_refusals: dict[str, int]
    overload_refusals: dict[str, int]
    uptime_s: float | None = None
    decisions_age_s: float | None = None
    endpoints_age_s: float | None = None


def gateway_status(gateway: Gateway) -> GatewayStatus:
    """Return the status of a gateway at the event loop's current time."""
    now_s = asyncio.get_running_loop().time()
    view, settings = gateway.view, gateway.settings
    uptime_s = now_s - gateway.started_s
    by_service: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in view.endpoints.values():
        by_service[endpoint.service].append(endpoint)
    names = set(by_service) | gateway.traffic.services
    if view.catalogue is not None:
        names |= set(view.catalogue.services)
    return GatewayStatus(
        name=settings.name,
        zone=settings.availability_zone,
        revision=view.operator_revision,
        ready=view.is_usable and not gateway.shutting_down,
        leaving=gateway.shutting_down,
        gateways=tuple(sorted({settings.name, *gateway.peers})),
        services=tuple(
            _service_status(gateway, name, by_service[name], now_s, uptime_s)
            for name in sorted(names)
        ),
        unrouted_refusals=by_reason(gateway.traffic.unrouted_refusals),
        overload_refusals=gateway.traffic.overload_refusals(),
        uptime_s=_finite(uptime_s),
        decisions_age_s=_finite(view.confirmed_age_s),
        endpoints_age_s=_finite(view.endpoints_age_s),
    )


def encode_status(status: GatewayStatus) -> bytes:
    """Encode a status as JSON.

    Objects become dictionaries when orjson reaches them, which takes less time than
    converting all of them first.
    """
    return orjson.dumps(status, default=lambda part: asdict(part, recurse=False))


def _service_status(
    gateway: Gateway,
    name: str,
    endpoints: list[Endpoint],
    now_s: float,
    uptime_s: float,
) -> ServiceStatus:
    states = [gateway.states.of(endpoint) for endpoint in endpoints]
    baseline_s = baseline_wait_s((state.backlog for state in states), now_s)
    reports = [
        _endpoint_status(gateway, endpoint, baseline_s, now_s)
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.instance)
    ]
    waits_s = [r.wait_s for r in reports if r.state == EndpointCondition.USABLE]
    return ServiceStatus(
        name=name,
        requests_per_s=round(
            gateway.traffic.requests_per_s(name, now_s, uptime_s), DIGITS
        ),
        attempts_per_s=round(gateway.sent_per_s(name, now_s), DIGITS),
        endpoint_states=dict(Counter(report.state for report in reports)),
        refusals=gateway.traffic.refusals(name),
        endpoints=tuple(reports),
        wait_s=min(waits_s, default=None),
        admission_level=_admission_level(gateway, name, now_s),
    )


def _endpoint_status(
    gateway: Gateway, endpoint: Endpoint, baseline_s: float, now_s: float
) -> EndpointStatus:
    state = gateway.states.of(endpoint)
    load = state.load
    has_report = load.running is not None
    pace = state.pace if state.pace.is_reported else None
    return EndpointStatus(
        instance=endpoint.instance,
        zone=endpoint.availability_zone,
        version=endpoint.version,
        state=endpoint_condition(gateway, endpoint, now_s).value,
        in_flight=load.in_flight,
        slots=endpoint.slots,
        wait_s=round(state.backlog.wait_s(now_s, baseline_s), DIGITS),
        running=load.running,
        waiting=load.waiting,
        report_age_s=round(now_s - load.reported_s, DIGITS) if has_report else None,
        pace=round(pace.machine_pace(now_s), DIGITS) if pace else None,
        slowness=round(pace.slowness(now_s), DIGITS) if pace else None,
    )


def _admission_level(gateway: Gateway, service: str, now_s: float) -> int | None:
    """Return the level of a service, None where overload control is off."""
    if not gateway.settings.overload_control:
        return None
    return gateway.overload(service).level.level_at(now_s)


def _finite(value: float) -> float | None:
    return round(value, DIGITS) if math.isfinite(value) else None
