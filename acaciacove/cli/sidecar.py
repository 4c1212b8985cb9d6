"""``acaciacove sidecar``: run one sidecar until it is told to stop."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.sidecar_settings import SidecarSettings


def run(settings: SidecarSettings, env: Environment) -> ExitStatus:
    """Run the daemon; it ends after SIGTERM, once its work has finished."""
    from acaciacove.sidecar.daemon import run_sidecar

    return asyncio.run(run_sidecar(settings))
