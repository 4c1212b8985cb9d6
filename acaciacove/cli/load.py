"""``acaciacove load``: sends requests and checks every answer."""

import asyncio

from attrs import asdict

from acaciacove.cli.output import print_json
from acaciacove.cli.tables import new_table, open_console
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.load_settings import LoadSettings


def run(settings: LoadSettings, env: Environment) -> ExitStatus:
    """Send requests and print a report; a wrong answer is a failed check."""
    from acaciacove.bench.call_failure import CallFailure
    from acaciacove.bench.load_run import run_load

    report = asyncio.run(run_load(settings))
    document = asdict(report)
    if settings.json:
        print_json(document, env)
    else:
        _print(document, env)
    # Callers notice a refusal, a timeout or a lost connection. They do not notice
    # an answer that is truncated, ends early without an error, or belongs to
    # another request, so only these fail the check.
    wrong = (CallFailure.FOREIGN, CallFailure.SHORT, CallFailure.BROKEN_OFF)
    if any(report.failures.get(failure, 0) for failure in wrong):
        return ExitStatus.CHECK_FAILED
    return ExitStatus.SUCCESS


def _print(document: dict[str, object], env: Environment) -> None:
    """Print one row per figure; nested figures are named by their path."""
    table = new_table("figure", "value")
    for name, value in document.items():
        if isinstance(value, dict):
            for inner, figure in value.items():
                table.add_row(f"{name}.{inner}", str(figure))
        else:
            table.add_row(name, str(value))
    open_console(env).print(table)
