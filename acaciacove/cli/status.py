"""``acaciacove status``: shows the fleet in one table."""

import asyncio

from attrs import asdict
from rich.table import Table

from acaciacove.adapters.http_instance_list import HttpInstanceList
from acaciacove.cli.fleet_report import FleetReport
from acaciacove.cli.history import read_history
from acaciacove.cli.instance_report import InstanceReport
from acaciacove.cli.output import print_json
from acaciacove.cli.query_instance import query_instance
from acaciacove.cli.tables import new_table, open_console
from acaciacove.context import Environment, open_http_client
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.settings.status_settings import StatusSettings

MAX_CONCURRENT_QUERIES = 32
UNKNOWN = "?"
LIVE = InstanceStatus.LIVE.value


def run(settings: StatusSettings, env: Environment) -> ExitStatus:
    """Print the fleet's state from log, instance list and instances."""
    report = asyncio.run(_report(settings, env))
    if settings.json:
        print_json(asdict(report), env)
    else:
        _print(report, env)
    return ExitStatus.SUCCESS


async def _report(settings: StatusSettings, env: Environment) -> FleetReport:
    """Read log and list, query all instances; raises PlatformUnavailableError."""
    async with env.open_log(settings.log_url) as log:
        fleet = (await read_history(log)).state
    async with open_http_client() as client:
        url = settings.instance_list_url.rstrip("/")
        listed = await HttpInstanceList(url, client).fetch()
        slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def query(instance: Instance) -> InstanceReport:
            async with slots:
                return await query_instance(client, instance, fleet, settings.timeout_s)

        instances = await asyncio.gather(*map(query, listed))
    return _fleet_report(fleet, instances, env)


def _fleet_report(
    fleet: FleetState, instances: list[InstanceReport], env: Environment
) -> FleetReport:
    ordered = sorted(instances, key=lambda i: (i.role, i.availability_zone, i.name))
    return FleetReport(
        env.now().isoformat(timespec="seconds"),
        fleet.revision,
        fleet.release_revision,
        tuple(sorted(fleet.availability_zones_out)),
        tuple(sorted(fleet.instances_out)),
        tuple(sorted(str(version) for version in fleet.quarantines)),
        tuple(ordered),
    )


def _print(report: FleetReport, env: Environment) -> None:
    console = open_console(env)
    console.print(
        f"revision {report.revision}, release {report.release_revision}, "
        f"read at {report.read_at}"
    )
    for title, names in (
        ("availability zones out", report.availability_zones_out),
        ("instances out", report.instances_out),
        ("quarantined versions", report.quarantined),
    ):
        if names:
            console.print(f"{title}: {', '.join(names)}")
    console.print(_table(report.instances))


def _table(instances: tuple[InstanceReport, ...]) -> Table:
    columns = ("instance", "role", "zone", "state", "revision", "load", "cold")
    table = new_table(*columns, "versions", "notes")
    for instance in instances:
        table.add_row(
            instance.name,
            instance.role,
            instance.availability_zone,
            instance.state or UNKNOWN,
            _format_number(instance.revision),
            _format_load(instance),
            _format_boolean(instance.cold),
            " ".join(instance.versions),
            _format_notes(instance),
        )
    return table


def _format_number(value: int | None) -> str:
    return UNKNOWN if value is None else str(value)


def _format_boolean(value: bool | None) -> str:
    return UNKNOWN if value is None else ("yes" if value else "no")


def _format_load(instance: InstanceReport) -> str:
    """Return the requests in flight, with the limit if there is one."""
    if instance.limit is None:
        return _format_number(instance.in_flight)
    return f"{_format_number(instance.in_flight)}/{instance.limit}"


def _format_notes(instance: InstanceReport) -> str:
    notes = []
    if instance.listed != LIVE:
        notes.append(f"listed as {instance.listed}")
    if instance.out:
        notes.append("out")
    if instance.behind:
        notes.append(f"{instance.behind} revisions behind")
    if instance.fault:
        notes.append(instance.fault)
    return ", ".join(notes)
