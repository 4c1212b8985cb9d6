"""``acaciacove help-settings``: all settings as tables for the operators' page."""

from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.cli.read_settings import flag_default
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.no_settings import NoSettings

HEADER = "| Flag | Environment variable | Default | Meaning |\n|---|---|---|---|"


def run(settings: NoSettings, env: Environment) -> ExitStatus:
    """Print one table for each command that has flags."""
    from acaciacove.cli.definition import COMMANDS

    env.print(settings_tables(COMMANDS))
    return ExitStatus.SUCCESS


def settings_tables(commands: tuple[Command, ...]) -> str:
    """Write Markdown tables from the definitions."""
    return "\n\n".join(_table(command) for command in commands if command.flags)


def _table(command: Command) -> str:
    rows = [_row(command, flag) for flag in command.flags]
    return "\n".join([f"### `acaciacove {command.name}`", "", HEADER, *rows])


def _row(command: Command, flag: Flag) -> str:
    meaning = " ".join(flag.help.split()).replace("|", "\\|")
    default = flag_default(command, flag)
    return f"| `--{flag.name}` | `{flag.variable}` | {default} | {meaning} |"
