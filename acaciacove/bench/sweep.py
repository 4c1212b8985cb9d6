"""Run a scenario over many seeds and print medians and the worst.

Use: ``python -m acaciacove.bench.sweep SCENARIO FIRST_SEED LAST_SEED``.
"""

from collections.abc import Iterable
from statistics import median
from sys import argv

from rich.console import Console
from rich.table import Table

from acaciacove.bench.policy_runs import OURS
from acaciacove.bench.scenario import SCENARIOS
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings


def sweep(scenario: str, seeds: Iterable[int]) -> list[ScenarioReport]:
    """Run one scenario for each seed."""
    return [SCENARIOS[scenario](ScenarioSettings(seed=seed)) for seed in seeds]


def print_sweep(reports: list[ScenarioReport]) -> None:
    """Print, per policy and figure, median, least and greatest over the seeds."""
    table = Table(title=f"{reports[0].scenario}, {len(reports)} seeds")
    for column in ("policy", "figure", "aim", "median", "least", "greatest", "met"):
        table.add_column(column)
    for policy in (OURS, *reports[0].baselines):
        parts = [_part(report, policy) for report in reports]
        for figure in parts[0]:
            _add_row(table, reports[0], policy, figure, [p[figure] for p in parts])
    Console(soft_wrap=True).print(table)


def _part(report: ScenarioReport, policy: str) -> Figures:
    return report.ours if policy == OURS else report.baselines[policy]


def _add_row(
    table: Table, report: ScenarioReport, policy: str, figure: str, values: list[float]
) -> None:
    aim, met = "", ""
    if policy == OURS and figure in report.aims:
        bound, is_upper = report.aims[figure]
        aim = f"{'≤' if is_upper else '≥'} {bound:g}"
        hits = sum(v <= bound if is_upper else v >= bound for v in values)
        met = f"{hits}/{len(values)}"
    numbers = (median(values), min(values), max(values))
    table.add_row(policy, figure, aim, *(f"{n:.4g}" for n in numbers), met)


if __name__ == "__main__":
    print_sweep(sweep(argv[1], range(int(argv[2]), int(argv[3]) + 1)))
