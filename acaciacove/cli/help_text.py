"""Help pages, generated from the command definitions."""

from collections.abc import Sequence
from inspect import cleandoc
from textwrap import fill

from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.cli.read_settings import flag_default

WIDTH = 79
INDENT = "    "
NAME_WIDTH = 20

PROGRAM_INTRODUCTION = """\
acaciacove: a model-aware router for versions and cascades.

Usage: acaciacove COMMAND [ARGUMENT...] [--flag=value...]

Commands:"""

PROGRAM_CLOSING = """\
acaciacove COMMAND --help tells all of a command. Every flag may also be set by
an environment variable, ACACIACOVE_ and the flag in capitals; the flag wins.
acaciacove --version prints the version."""


def program_help(commands: Sequence[Command]) -> str:
    """Return the help page that lists all commands."""
    lines = [PROGRAM_INTRODUCTION]
    lines += [f"  {c.name:<{NAME_WIDTH}}{c.summary}" for c in commands]
    return "\n".join([*lines, "", PROGRAM_CLOSING])


def command_help(command: Command) -> str:
    """Return the help page of one command."""
    blocks = [_usage(command), paragraphs(command.help)]
    if command.arguments:
        blocks.append("Arguments:")
        for argument in command.arguments:
            blocks.append(f"  {argument.metavar}\n{_indented(argument.help)}")
    if command.flags:
        blocks.append("Flags:")
        blocks += [_flag_help(command, flag) for flag in command.flags]
    return "\n\n".join(blocks)


def paragraphs(text: str) -> str:
    """Wrap each paragraph; indented blocks stay unchanged."""
    wrapped = []
    for block in cleandoc(text).split("\n\n"):
        verbatim = block.startswith(" ")
        wrapped.append(block if verbatim else fill(" ".join(block.split()), WIDTH))
    return "\n\n".join(wrapped)


def _usage(command: Command) -> str:
    arguments = "".join(f" {argument.metavar}" for argument in command.arguments)
    return f"Usage: acaciacove {command.name}{arguments} [--flag=value...]"


def _flag_help(command: Command, flag: Flag) -> str:
    """Return a flag's line, help, environment variable and default."""
    value = f"={flag.metavar}" if flag.metavar else ""
    origin = f"Environment: {flag.variable}. Default: {flag_default(command, flag)}."
    return f"  --{flag.name}{value}\n{_indented(flag.help)}\n{_indented(origin)}"


def _indented(text: str) -> str:
    words = " ".join(text.split())
    return fill(words, WIDTH, initial_indent=INDENT, subsequent_indent=INDENT)
