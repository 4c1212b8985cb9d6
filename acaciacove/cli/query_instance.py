"""Queries the status of one instance over HTTP."""

from typing import Any

from attrs import evolve

from acaciacove.adapters.http_json import call_json
from acaciacove.cli.instance_report import InstanceReport
from acaciacove.cli.status_query import BAD_ANSWER, NO_ANSWER, status_url
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance

NO_PORT = "no HTTP port listed"


async def query_instance(
    client: Any, instance: Instance, fleet: FleetState, timeout_s: float
) -> InstanceReport:
    """Return a report; if no valid answer comes, its ``fault`` says why."""
    listed = _report_from_list(instance, fleet)
    if not instance.http_port:
        return evolve(listed, fault=NO_PORT)
    url = status_url(instance.host, instance.http_port)
    try:
        answer = await call_json(client, "GET", url, timeout_s=timeout_s)
    except PlatformUnavailableError:
        return evolve(listed, fault=NO_ANSWER)
    if not isinstance(answer.document, dict):
        return evolve(listed, fault=BAD_ANSWER)
    return _add_status(listed, answer.document, fleet)


def _report_from_list(instance: Instance, fleet: FleetState) -> InstanceReport:
    """Report what the instance list and the decisions in force contain."""
    out = (
        instance.name in fleet.instances_out
        or instance.availability_zone in fleet.availability_zones_out
    )
    return InstanceReport(
        instance.name,
        instance.role.value,
        instance.availability_zone,
        instance.status.value,
        out,
        tuple(str(version) for version in instance.versions),
    )


def _add_status(
    listed: InstanceReport, document: dict[str, Any], fleet: FleetState
) -> InstanceReport:
    """Add the status that the instance returned.

    If another instance now has the address, the answer carries another name. That
    is a fault: its state would otherwise be shown for the wrong instance.
    """
    name = document.get("name")
    if name != listed.name:
        return evolve(listed, fault=f"answered as {name!r}")
    revision = _integer_field(document, "revision")
    return evolve(
        listed,
        state=_text_field(document, "state"),
        revision=revision,
        behind=None if revision is None else max(0, fleet.revision - revision),
        in_flight=_integer_field(document, "in_flight"),
        limit=_integer_field(document, "limit"),
        cold=document["cold"] if isinstance(document.get("cold"), bool) else None,
    )


def _integer_field(document: dict[str, Any], key: str) -> int | None:
    value = document.get(key)
    return value if isinstance(value, int) and not isinstance(value, bool) else None


def _text_field(document: dict[str, Any], key: str) -> str | None:
    value = document.get(key)
    return value if isinstance(value, str) else None
