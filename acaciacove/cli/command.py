"""One command of the command line interface."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from acaciacove.cli.argument import Argument
from acaciacove.cli.flag import Flag
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class Command:
    """The words that select a command, its help, settings and function.

    ``run`` is called with an instance of ``settings``.
    """

    words: tuple[str, ...]
    summary: str
    help: str
    settings: type[CheckedSettings]
    run: Callable[[Any, Environment], ExitStatus]
    arguments: tuple[Argument, ...] = ()
    flags: tuple[Flag, ...] = ()

    @property
    def name(self) -> str:
        """The command as typed, without the program's name."""
        return " ".join(self.words)
