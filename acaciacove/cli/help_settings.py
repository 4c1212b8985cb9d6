"""``acaciacove help-settings``: prints all settings as Markdown tables."""

from pathlib import Path

from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.cli.read_settings import flag_default
from acaciacove.context import Environment
from acaciacove.errors import InvalidSettingsError
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.help_settings import HelpSettings

BEGIN_MARKER = "<!-- settings: begin -->"
END_MARKER = "<!-- settings: end -->"
TABLE_HEADER = "| Flag | Environment variable | Default | Meaning |\n|---|---|---|---|"


def run(
    settings: HelpSettings, env: Environment, commands: tuple[Command, ...]
) -> ExitStatus:
    """Print one table for each command that has flags, or write them to a file."""
    tables = settings_tables(commands)
    if settings.page:
        _replace_tables(Path(settings.page), tables)
    else:
        env.print(tables)
    return ExitStatus.SUCCESS


def _replace_tables(page: Path, tables: str) -> None:
    """Replace the tables between the markers; raises InvalidSettingsError."""
    try:
        before, begin, rest = page.read_text().partition(BEGIN_MARKER)
        _, end, after = rest.partition(END_MARKER)
    except OSError as error:
        raise InvalidSettingsError([f"--page {error.strerror}: {page}"]) from error
    if not (begin and end):
        raise InvalidSettingsError(
            [f"--page lacks {BEGIN_MARKER} or {END_MARKER} after it: {page}"]
        )
    page.write_text(f"{before}{BEGIN_MARKER}\n\n{tables}\n\n{END_MARKER}{after}")


def settings_tables(commands: tuple[Command, ...]) -> str:
    """Return Markdown tables generated from the command definitions."""
    return "\n\n".join(_table(command) for command in commands if command.flags)


def _table(command: Command) -> str:
    rows = [_row(command, flag) for flag in command.flags]
    return "\n".join([f"### `acaciacove {command.name}`", "", TABLE_HEADER, *rows])


def _row(command: Command, flag: Flag) -> str:
    meaning = " ".join(flag.help.split()).replace("|", "\\|")
    default = flag_default(command, flag)
    return f"| `--{flag.name}` | `{flag.variable}` | {default} | {meaning} |"
