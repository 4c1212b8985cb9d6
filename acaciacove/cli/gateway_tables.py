"""Tables of gateways, their services and endpoints."""

from collections import Counter
from collections.abc import Iterable

from rich.table import Table

from acaciacove.cli.gateway_answer import GatewayAnswer
from acaciacove.cli.tables import new_table
from acaciacove.gateway.endpoint_condition import EndpointCondition
from acaciacove.gateway.endpoint_status import EndpointStatus
from acaciacove.gateway.gateway_status import GatewayStatus
from acaciacove.gateway.service_status import ServiceStatus

UNKNOWN = "-"
# Sorts endpoints without a report after all others.
NO_REPORT_AGE_S = float("inf")


def service_table(answers: Iterable[GatewayAnswer]) -> Table:
    """Return a table with a row for each gateway and service."""
    columns = ("gateway", "zone", "revision", "known", "service", "requests/s")
    table = new_table(*columns, "endpoints", "wait s", "level", "refused", "notes")
    for answer in answers:
        status = answer.status
        if status is None:
            table.add_row(answer.address, *[UNKNOWN] * (len(columns) + 3), answer.fault)
            continue
        cells = [
            status.name,
            status.zone,
            str(status.revision),
            str(len(status.gateways)),
        ]
        for service in status.services:
            table.add_row(*cells, *_service_cells(service), _notes(status))
        if status.unrouted_refusals or not status.services:
            refused = _format_counts(status.unrouted_refusals)
            table.add_row(*cells, *[UNKNOWN] * 5, refused, _notes(status))
    return table


def _service_cells(service: ServiceStatus) -> list[str]:
    usable = service.endpoint_states.get(EndpointCondition.USABLE, 0)
    return [
        service.name,
        f"{service.requests_per_s:.1f}",
        f"{usable} of {len(service.endpoints)}",
        _format_number(service.wait_s),
        _format_number(service.admission_level),
        _format_counts(service.refusals),
    ]


def _notes(status: GatewayStatus) -> str:
    if status.leaving:
        return "leaving"
    return "" if status.ready else "not ready"


def endpoint_table(answers: Iterable[GatewayAnswer]) -> Table:
    """Return a table with a row for each endpoint, over all gateways.

    Requests in flight are summed, and the wait is the mean of the gateways' estimates.
    Load and pace are from the newest report that a gateway has. If gateways differ on
    the state, each state has the number of gateways.
    """
    columns = ("endpoint", "service", "zone", "version", "state", "in flight")
    table = new_table(
        *columns, "running", "waiting", "slots", "pace", "slowness", "wait s"
    )
    views: dict[tuple[str, str], list[EndpointStatus]] = {}
    for answer in answers:
        for service in answer.status.services if answer.status else ():
            for endpoint in service.endpoints:
                views.setdefault((service.name, endpoint.instance), []).append(endpoint)
    for (service_name, instance), seen in sorted(views.items()):
        newest = min(seen, key=_report_age_s)
        table.add_row(
            instance,
            service_name,
            newest.zone,
            newest.version,
            _format_states(seen),
            str(sum(endpoint.in_flight for endpoint in seen)),
            _format_count(newest.running),
            _format_count(newest.waiting),
            str(newest.slots),
            _format_number(newest.pace),
            _format_number(newest.slowness),
            _format_number(sum(endpoint.wait_s for endpoint in seen) / len(seen)),
        )
    return table


def _report_age_s(endpoint: EndpointStatus) -> float:
    age_s = endpoint.report_age_s
    return NO_REPORT_AGE_S if age_s is None else age_s


def _format_states(seen: list[EndpointStatus]) -> str:
    counts = Counter(endpoint.state for endpoint in seen)
    return next(iter(counts)) if len(counts) == 1 else _format_counts(dict(counts))


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or UNKNOWN


def _format_count(value: int | None) -> str:
    return UNKNOWN if value is None else str(value)


def _format_number(value: float | None) -> str:
    return UNKNOWN if value is None else f"{value:.2f}"
