"""``acaciacove entry``: run one entry until it is told to stop."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.entry_settings import EntrySettings


def run(settings: EntrySettings, env: Environment) -> ExitStatus:
    """Run the daemon; it ends after SIGTERM, once its streams have finished."""
    from acaciacove.entry.daemon import run_entry

    return asyncio.run(run_entry(settings))
