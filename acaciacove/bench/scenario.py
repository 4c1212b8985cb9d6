"""The scenarios by name, and how a report is printed."""

from collections.abc import Callable
from typing import Any

import orjson
from rich.console import Console
from rich.table import Table

from acaciacove.bench.policy_runs import OURS
from acaciacove.bench.scenario_bad_version import run_bad_version
from acaciacove.bench.scenario_balance import run_balance
from acaciacove.bench.scenario_cascade import run_cascade
from acaciacove.bench.scenario_cold_start import run_cold_start
from acaciacove.bench.scenario_fairness import run_fairness
from acaciacove.bench.scenario_mix import run_mix
from acaciacove.bench.scenario_overload import run_overload
from acaciacove.bench.scenario_report import ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.bench.scenario_zone_move import run_zone_move

Scenario = Callable[[ScenarioSettings], ScenarioReport]

SCENARIOS: dict[str, Scenario] = {
    "cascade": run_cascade,
    "fairness": run_fairness,
    "zone_move": run_zone_move,
    "bad_version": run_bad_version,
    "balance": run_balance,
    "cold_start": run_cold_start,
    "overload": run_overload,
    "mix": run_mix,
}


def report_document(report: ScenarioReport) -> dict[str, Any]:
    """Return the report as the JSON line spells it."""
    return {
        "scenario": report.scenario,
        "seed": report.seed,
        "ours": report.ours,
        "baselines": report.baselines,
    }


def print_report(report: ScenarioReport, as_json: bool) -> None:
    """Print a table, and with ``as_json`` one JSON object on the last line."""
    Console(soft_wrap=True).print(_table(report))
    if as_json:
        print(orjson.dumps(report_document(report)).decode())


def _table(report: ScenarioReport) -> Table:
    """One row a figure, one column a policy."""
    policies = {OURS: report.ours, **report.baselines}
    table = Table(title=f"{report.scenario}, seed {report.seed}")
    table.add_column("figure")
    table.add_column("aim", justify="right")
    for name in policies:
        table.add_column(name, justify="right")
    figures = dict.fromkeys(name for part in policies.values() for name in part)
    for figure in figures:
        cells = [_cell(part.get(figure)) for part in policies.values()]
        table.add_row(figure, _aim(report, figure), *cells)
    return table


def _aim(report: ScenarioReport, figure: str) -> str:
    if figure not in report.aims:
        return ""
    bound, is_upper = report.aims[figure]
    return f"{'≤' if is_upper else '≥'} {bound:g}"


def _cell(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"
