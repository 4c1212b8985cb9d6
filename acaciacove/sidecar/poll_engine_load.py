"""Polls the engine's load report, which lags but shows restarts."""

import asyncio

from acaciacove.errors import PlatformUnavailableError
from acaciacove.messages.load import Load
from acaciacove.sidecar.sidecar_state import SidecarState

POLL_INTERVAL_S = 1.0


async def poll_engine_load(sidecar: SidecarState) -> None:
    """Poll the load report; an engine that does not answer keeps its limit."""
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        if not sidecar.is_engine:
            continue
        try:
            report = await sidecar.engine.load()
        except (PlatformUnavailableError, KeyError, TypeError, ValueError):
            continue
        load = Load(report.in_flight, report.queued, cold=report.cold)
        sidecar.admission.reported(load, report.restarts)
