"""Runs the sidecar as a process."""

from acaciacove.daemon.decision_log import start_log
from acaciacove.daemon.stop_signal import stop_on_signals
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.running_sidecar import running_sidecar


async def run_sidecar(settings: SidecarSettings) -> ExitStatus:
    """Serve until SIGTERM, then drain; return ERROR if work was left unfinished."""
    start_log()
    stop = stop_on_signals()
    async with running_sidecar(settings) as running:
        await stop.wait()
    return ExitStatus.ERROR if running.cut else ExitStatus.SUCCESS
