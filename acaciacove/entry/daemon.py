"""Runs the entry as a process."""

from acaciacove.daemon.decision_log import start_log
from acaciacove.daemon.stop_signal import stop_on_signals
from acaciacove.entry.running_entry import running_entry
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.entry_settings import EntrySettings


async def run_entry(settings: EntrySettings) -> ExitStatus:
    """Serve until SIGTERM, then drain; interrupted requests are an error."""
    start_log()
    stop = stop_on_signals()
    async with running_entry(settings) as running:
        await stop.wait()
    return ExitStatus.ERROR if running.cut else ExitStatus.SUCCESS
