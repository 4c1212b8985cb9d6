"""``acaciacove bench``: measures routing decisions and the daemons' overhead."""

import asyncio
from collections.abc import Callable

from attrs import asdict, fields

from acaciacove.cli.output import print_json
from acaciacove.cli.tables import new_table, open_console
from acaciacove.context import Environment
from acaciacove.errors import InvalidSettingsError
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.bench_settings import BenchSettings

Bench = Callable[[BenchSettings, Environment], ExitStatus]


def run(settings: BenchSettings, env: Environment) -> ExitStatus:
    """Run the benchmark named in the settings; raises InvalidSettingsError."""
    from acaciacove.bench.scenario import SCENARIOS

    bench = _BENCHES.get(settings.bench)
    if bench is not None:
        return bench(settings, env)
    if settings.bench in SCENARIOS:
        return _run_scenario(settings, env)
    known = ", ".join([*_BENCHES, *SCENARIOS])
    raise InvalidSettingsError([f"BENCH must be one of {known}"])


def _run_scenario(settings: BenchSettings, env: Environment) -> ExitStatus:
    """Run one scenario with this router's decisions and with the baselines."""
    from acaciacove.bench.scenario import SCENARIOS, print_report
    from acaciacove.bench.scenario_settings import ScenarioSettings

    names = [attribute.name for attribute in fields(ScenarioSettings)]
    values = {name: getattr(settings, name) for name in names}
    report = SCENARIOS[settings.bench](ScenarioSettings(**values))
    print_report(report, settings.json)
    return ExitStatus.SUCCESS


def _run_overhead(settings: BenchSettings, env: Environment) -> ExitStatus:
    """Measure the overhead of entry and sidecar in processes that it starts."""
    from acaciacove.bench.overhead import run_overhead

    print_json(asyncio.run(run_overhead()), env)
    return ExitStatus.SUCCESS


def _run_capacity(settings: BenchSettings, env: Environment) -> ExitStatus:
    """Measure cost slopes on this machine and project them to the design size."""
    from acaciacove.bench.capacity import format_report, measure_capacity
    from acaciacove.bench.capacity_settings import CapacitySettings

    report = measure_capacity(CapacitySettings(seed=settings.seed))
    env.print(format_report(report))
    if settings.json:
        print_json(report.document(), env)
    return ExitStatus.SUCCESS


def _run_promises(settings: BenchSettings, env: Environment) -> ExitStatus:
    """Check every promise under faults, in a long run on a simulated clock."""
    from acaciacove.bench.promises import run_promises

    report = run_promises(
        settings.seed, settings.rounds, settings.break_promise or None
    )
    table = new_table("promise", "checks", "violations")
    for promise, checks in report.checks.items():
        table.add_row(promise, str(checks), str(report.violations.get(promise, 0)))
    open_console(env).print(table)
    for detail in report.details:
        env.print(detail)
    if settings.json:
        print_json({**asdict(report), "kept": report.kept}, env)
    return ExitStatus.SUCCESS if report.kept else ExitStatus.CHECK_FAILED


_BENCHES: dict[str, Bench] = {
    "promises": _run_promises,
    "capacity": _run_capacity,
    "overhead": _run_overhead,
}
