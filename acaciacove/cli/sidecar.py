"""``acaciacove sidecar``: runs one sidecar until SIGTERM or SIGINT."""

import asyncio

from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.sidecar_settings import SidecarSettings


def run(settings: SidecarSettings, env: Environment) -> ExitStatus:
    """Run the daemon; after SIGTERM it ends when its work has finished."""
    from acaciacove.sidecar.daemon import run_sidecar

    return asyncio.run(run_sidecar(settings))
