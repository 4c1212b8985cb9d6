"""Tables for people, on terminals and in files."""

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from acaciacove.context import Environment

FILE_WIDTH = 120


def open_console(env: Environment) -> Console:
    """Write to standard output, as wide as the terminal or as a file's width."""
    width = None if env.stdout_isatty else FILE_WIDTH
    # Names and summaries are other people's text: read as markup, a summary with
    # a bracket in it would end the command with an error.
    return Console(
        file=env.stdout, width=width, highlight=False, markup=False, emoji=False
    )


def new_table(*columns: str) -> Table:
    """Make a table; names in the first column are never cut."""
    table = Table(box=SIMPLE_HEAD, padding=(0, 1, 0, 0))
    for index, column in enumerate(columns):
        table.add_column(column, no_wrap=index == 0, overflow="fold")
    return table
