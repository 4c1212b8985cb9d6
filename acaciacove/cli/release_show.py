"""``acaciacove release show``: shows the release in force and its history."""

from typing import Any

from rich.table import Table

from acaciacove.cli.history import History, fetch_history
from acaciacove.cli.history_entry import HistoryEntry
from acaciacove.cli.output import print_json
from acaciacove.cli.record_summary import record_id, summarise
from acaciacove.cli.tables import new_table, open_console
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.release_format.write_note import document_in_force, write_document
from acaciacove.settings.show_settings import ShowSettings


def run(settings: ShowSettings, env: Environment) -> ExitStatus:
    """Print the release in force and the latest records of the stream."""
    history = fetch_history(settings.log_url, env)
    if settings.yaml:
        env.print(write_document(document_in_force(history.state)).rstrip())
    elif settings.json:
        print_json(_as_json(history, settings.history), env)
    else:
        _print(history, settings.history, env)
    return ExitStatus.SUCCESS


def _as_json(history: History, count: int) -> dict[str, Any]:
    state = history.state
    return {
        "revision": state.revision,
        "release_revision": state.release_revision,
        "apis": sorted(state.apis),
        "versions": sorted(
            str(v.id) for v in state.versions.values() if not v.withdrawn
        ),
        "withdrawn": sorted(str(v.id) for v in state.versions.values() if v.withdrawn),
        "quarantined": sorted(str(version) for version in state.quarantines),
        "exposures": _exposures(state),
        "organisations": sorted(state.organisations),
        "availability_zones_out": sorted(state.availability_zones_out),
        "instances_out": sorted(state.instances_out),
        "history": [_entry_as_json(entry) for entry in latest(history, count)],
    }


def _exposures(state: FleetState) -> dict[str, float]:
    """Return the share that each version under roll-out has reached."""
    shares = {str(v.id): exposure(state, v) for v in state.versions.values()}
    return {version: share for version, share in shares.items() if share is not None}


def _entry_as_json(entry: HistoryEntry) -> dict[str, Any]:
    return {
        "offset": entry.offset,
        "id": record_id(entry.record),
        "verdict": entry.verdict_name,
        "detail": entry.detail,
        "summary": summarise(entry.record),
    }


def latest(history: History, count: int) -> list[HistoryEntry]:
    """Return the last ``count`` records, the latest first."""
    return history.entries[::-1][:count]


def _print(history: History, count: int, env: Environment) -> None:
    state = history.state
    console = open_console(env)
    console.print(f"revision {state.revision}, release {state.release_revision}")
    console.print(versions_table(state))
    console.print(organisations_table(state))
    zones = ", ".join(sorted(state.availability_zones_out)) or "none"
    instances = ", ".join(sorted(state.instances_out)) or "none"
    console.print(f"availability zones out: {zones}; instances out: {instances}")
    console.print(_history_table(latest(history, count)))


def versions_table(state: FleetState) -> Table:
    """Return a table of all versions, including withdrawn ones."""
    table = new_table("version", "API", "cost/1k tokens", "quality", "state")
    for version in state.versions.values():
        status = _version_status(state, version)
        cost = f"{version.cost_per_1k_tokens:g}"
        table.add_row(
            str(version.id), version.api, cost, f"{version.quality:g}", status
        )
    return table


def _version_status(state: FleetState, version: Version) -> str:
    """Return the status of a version, with the share that its roll-out reached."""
    if version.withdrawn:
        return "withdrawn"
    if version.id in state.quarantines:
        return f"quarantined: {state.quarantines[version.id].reason}"
    share = exposure(state, version)
    return "in force" if share is None else f"rolled out to {share:.1%}"


def exposure(state: FleetState, version: Version) -> float | None:
    """Return the share that a roll-out has reached; None without a roll-out."""
    replaced = version.replaces
    if version.withdrawn or replaced is None or not state.is_usable(replaced):
        return None
    return state.exposures.get(version.id, version.first_share)


def organisations_table(state: FleetState) -> Table:
    """Return a table of all organisations and the versions they may use."""
    table = new_table("organisation", "weight", "may reach")
    for organisation in state.organisations.values():
        allowed = [
            f"{model}@{','.join(versions)}"
            for model, versions in organisation.allowed.items()
        ]
        table.add_row(organisation.name, f"{organisation.weight:g}", " ".join(allowed))
    return table


def _history_table(entries: list[HistoryEntry]) -> Table:
    table = new_table("offset", "verdict", "record", "detail")
    for entry in entries:
        table.add_row(
            str(entry.offset),
            entry.verdict_name,
            summarise(entry.record),
            entry.detail,
        )
    return table
