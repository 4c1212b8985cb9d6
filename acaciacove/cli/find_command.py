"""Finds the command that the command line selects."""

from collections.abc import Sequence
from difflib import get_close_matches

from acaciacove.cli.command import Command
from acaciacove.errors import InvalidSettingsError


def find_command(
    commands: Sequence[Command], args: list[str]
) -> tuple[Command, list[str]]:
    """Return the command and the remaining arguments.

    Raises InvalidSettingsError for an unknown command.
    """
    for command in commands:
        if tuple(args[: len(command.words)]) == command.words:
            return command, args[len(command.words) :]
    raise InvalidSettingsError([_unknown_command_fault(commands, args)])


def _unknown_command_fault(commands: Sequence[Command], args: list[str]) -> str:
    """Return an error text that suggests similar commands."""
    group = [command.name for command in commands if command.words[0] == args[0]]
    if group:
        return f"{args[0]} needs one of: {', '.join(group)}"
    names = [command.name for command in commands]
    close = get_close_matches(" ".join(args[:2]), names, n=1)
    hint = f"; did you mean {close[0]}?" if close else ""
    return f"unknown command {args[0]!r}{hint}"
