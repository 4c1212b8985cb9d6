"""Text tables for terminals and files."""

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from acaciacove.context import Environment

FILE_WIDTH = 120


def open_console(env: Environment) -> Console:
    """Open a console on standard output, ``FILE_WIDTH`` wide if not a terminal."""
    width = None if env.stdout_isatty else FILE_WIDTH
    # Names and summaries are user input. If rich parsed them as markup, a bracket
    # in a summary could end the command with an error.
    return Console(
        file=env.stdout, width=width, highlight=False, markup=False, emoji=False
    )


def new_table(*columns: str) -> Table:
    """Return an empty table whose first column is never wrapped."""
    table = Table(box=SIMPLE_HEAD, padding=(0, 1, 0, 0))
    for index, column in enumerate(columns):
        table.add_column(column, no_wrap=index == 0, overflow="fold")
    return table
