"""``acaciacove entry``: runs one entry until SIGTERM or SIGINT."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.entry_settings import EntrySettings


def run(settings: EntrySettings, env: Environment) -> ExitStatus:
    """Run the daemon; after SIGTERM it ends when its streams have finished."""
    from acaciacove.entry.daemon import run_entry

    return asyncio.run(run_entry(settings))
