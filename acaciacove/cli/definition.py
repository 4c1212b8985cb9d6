"""All commands, in the order of the help page."""

from acaciacove.cli import (
    help_settings,
)
from acaciacove.cli.command import Command
from acaciacove.cli.daemon_commands import ENTRY, SIDECAR
from acaciacove.cli.explain_command import EXPLAIN
from acaciacove.cli.flag import Flag
from acaciacove.cli.operator_commands import (
    GATEWAYS,
    INSTANCE_IN,
    INSTANCE_OUT,
    STATUS,
    ZONE_IN,
    ZONE_OUT,
)
from acaciacove.cli.release_commands import (
    RELEASE_DIFF,
    RELEASE_PUBLISH,
    RELEASE_SHOW,
    RELEASE_VALIDATE,
)
from acaciacove.cli.tool_commands import BENCH, DEMO, LOAD, SOAK, STANDINS
from acaciacove.settings.help_settings import HelpSettings

HELP_SETTINGS = Command(
    words=("help-settings",),
    summary="Print the tables of all settings for the operators' page.",
    help="""
        Prints every flag of every command, its environment variable, its default and
        its meaning as Markdown tables. docs/OPERATIONS.md holds them, and a test
        compares the two; after a change, --page=docs/OPERATIONS.md puts it right.
    """,
    settings=HelpSettings,
    run=lambda settings, env: help_settings.run(settings, env, COMMANDS),
    flags=(
        Flag(
            "page",
            "Write the tables into this page, between its two settings comments, "
            "instead of printing them.",
            "FILE",
        ),
    ),
)

COMMANDS: tuple[Command, ...] = (
    ENTRY,
    SIDECAR,
    RELEASE_VALIDATE,
    RELEASE_DIFF,
    RELEASE_PUBLISH,
    RELEASE_SHOW,
    ZONE_OUT,
    ZONE_IN,
    INSTANCE_OUT,
    INSTANCE_IN,
    STATUS,
    GATEWAYS,
    EXPLAIN,
    DEMO,
    STANDINS,
    BENCH,
    LOAD,
    SOAK,
    HELP_SETTINGS,
)
