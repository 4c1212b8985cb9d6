"""``acaciacove explain``: reports on requests from log lines alone."""

from pathlib import Path

from acaciacove.cli.note_file import STANDARD_INPUT
from acaciacove.context import Environment
from acaciacove.errors import InvalidSettingsError
from acaciacove.exit_status import ExitStatus
from acaciacove.explain.losses import sum_losses
from acaciacove.explain.read_lines import read_lines
from acaciacove.explain.request_report import report_request
from acaciacove.explain.summary import summarise
from acaciacove.settings.explain_settings import ExplainSettings


def run(settings: ExplainSettings, env: Environment) -> ExitStatus:
    """Print the course of one request, or counts over time."""
    text: list[str] = []
    for file in settings.all_files:
        text += _read_lines(file, env)
    read = read_lines(text)
    if read.unreadable:
        env.log_error(f"{read.unreadable} lines could not be read")
    if settings.losses:
        report = sum_losses(read.lines)
    elif settings.summary:
        report = summarise(read.lines)
    else:
        report = report_request(settings.request_id, read.lines)
    for line in report:
        env.print(line)
    if report:
        return ExitStatus.SUCCESS
    env.log_error("no line tells about it")
    return ExitStatus.ERROR


def _read_lines(file: str, env: Environment) -> list[str]:
    if file == STANDARD_INPUT:
        return env.stdin.read().splitlines()
    try:
        return Path(file).read_text(errors="replace").splitlines()
    except OSError as error:
        raise InvalidSettingsError([f"FILE {error.strerror}: {file}"]) from error
