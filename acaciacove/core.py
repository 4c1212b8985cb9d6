"""Runs one command, from its arguments to its exit status."""

from collections.abc import Sequence

from acaciacove import __version__
from acaciacove.cli.definition import COMMANDS
from acaciacove.cli.find_command import find_command
from acaciacove.cli.help_text import command_help, program_help
from acaciacove.cli.read_settings import read_settings
from acaciacove.context import Environment
from acaciacove.errors import (
    AcaciacoveError,
    InvalidSettingsError,
    PlatformUnavailableError,
)
from acaciacove.exit_status import ExitStatus
from acaciacove.release_format.invalid_note_error import InvalidNoteError

HELP_FLAGS = frozenset({"--help", "-h"})
HELP_WORD = "help"
VERSION_FLAGS = frozenset({"--version"})


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command; known errors become a message and an exit status."""
    try:
        return run_command(list(args), env)
    except InvalidSettingsError as error:
        for fault in error.faults:
            env.log_error(fault)
        env.log_error("nothing was done; --help lists every setting")
        return ExitStatus.USAGE
    except InvalidNoteError as error:
        for note_fault in error.faults:
            env.stderr.write(f"{note_fault}\n")
        env.log_error(f"{len(error.faults)} fault(s); nothing was done")
        return ExitStatus.INVALID_NOTE
    except PlatformUnavailableError as error:
        env.log_error(f"the platform did not answer: {error}")
        return ExitStatus.PLATFORM_UNAVAILABLE
    except AcaciacoveError as error:
        env.log_error(str(error))
        return ExitStatus.ERROR
    except BrokenPipeError:
        return ExitStatus.ERROR
    except KeyboardInterrupt:
        env.log_error("interrupted")
        return ExitStatus.INTERRUPTED


def run_command(args: list[str], env: Environment) -> ExitStatus:
    """Find the command, read all its settings, and run it."""
    if not args or args[0] in HELP_FLAGS or args[0] == HELP_WORD:
        env.print(program_help(COMMANDS))
        return ExitStatus.SUCCESS if args else ExitStatus.USAGE
    if args[0] in VERSION_FLAGS:
        env.print(__version__)
        return ExitStatus.SUCCESS
    command, rest = find_command(COMMANDS, args)
    if HELP_FLAGS.intersection(rest):
        env.print(command_help(command))
        return ExitStatus.SUCCESS
    settings = read_settings(command, rest, env.env)
    return command.run(settings, env)
