"""One sidecar: its parts, its tasks, and how it leaves."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aioprometheus import Registry
from attrs import frozen
from starlette.applications import Starlette

from acaciacove.daemon.background import background
from acaciacove.daemon.drain import drain
from acaciacove.daemon.follow_release import follow_release
from acaciacove.daemon.http_server import http_server
from acaciacove.daemon.message_server import message_server
from acaciacove.daemon.probes import probe_routes
from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.daemon.process_metrics import ProcessMetrics
from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.fleet.role import Role
from acaciacove.messages.message import Message
from acaciacove.platform.http_client import open_client
from acaciacove.platform.http_engine import HttpEngine
from acaciacove.platform.http_log import HttpLog
from acaciacove.platform.http_service import HttpService
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.admission import Admission
from acaciacove.sidecar.entry_session import EntrySession, Send
from acaciacove.sidecar.sidecar_metrics import SidecarMetrics
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.state.fleet_holder import FleetHolder
from acaciacove.wire.connection import Connection


@frozen
class RunningSidecar:
    """A sidecar that serves; the ports are the bound ones."""

    state: SidecarState
    peer_port: int
    http_port: int


@asynccontextmanager
async def running_sidecar(settings: SidecarSettings) -> AsyncIterator[RunningSidecar]:
    """Serve entries while the block runs, and drain when it ends."""
    registry = Registry()
    client = open_client()
    sidecar = _build(settings, registry, client)
    process = ProcessMetrics(registry)

    def on_change() -> None:
        sidecar.admission.update(sidecar.holder.state, sidecar.served)
        if sidecar.holder.state.release_revision >= 0:
            sidecar.lifecycle.become_ready()

    def status() -> dict[str, Any]:
        process.refresh(sidecar.holder.state.revision, 0)
        sidecar.metrics.refresh(sidecar.admission.load())
        return _status(sidecar)

    async def on_other(message: Message, send: Send) -> None:
        return None

    async def handle(connection: Connection) -> None:
        await EntrySession(connection, sidecar, on_other).run()

    probes = probe_routes(sidecar.lifecycle, registry, status)
    log = HttpLog(settings.log_url, client)
    async with (
        background(follow_release(log, sidecar.holder, on_change)),
        message_server(settings.host, settings.peer_port, handle) as peer_port,
        http_server(
            Starlette(routes=probes), settings.host, settings.http_port
        ) as http_port,
    ):
        try:
            yield RunningSidecar(sidecar, peer_port, http_port)
        finally:
            await drain(
                sidecar.lifecycle,
                settings.drain_notice_s,
                settings.drain_limit_s,
                lambda: sidecar.in_flight,
            )
    sidecar.lifecycle.stop()


def _build(settings: SidecarSettings, registry: Registry, client: Any) -> SidecarState:
    """Put the parts of a sidecar together."""
    once_client = open_client(reuse=False)
    queue = AdmissionQueue(AdmissionSettings(max_queue=settings.max_queue))
    return SidecarState(
        settings=settings,
        lifecycle=ProcessLifecycle(),
        holder=FleetHolder(),
        admission=Admission(queue),
        engine=HttpEngine(settings.endpoint_url, client),
        service=HttpService(settings.endpoint_url, client, once_client),
        metrics=SidecarMetrics(registry),
        served=frozenset(settings.versions),
    )


def _status(sidecar: SidecarState) -> dict[str, Any]:
    """Describe the sidecar for ``/status``."""
    load = sidecar.admission.load()
    return {
        "name": sidecar.settings.name,
        "role": Role.ENDPOINT.value,
        "availability_zone": sidecar.settings.availability_zone,
        "state": sidecar.lifecycle.state,
        "revision": sidecar.holder.state.revision,
        "release_revision": sidecar.holder.state.release_revision,
        "in_flight": load.in_flight,
        "queued": load.queued,
        "limit": load.limit,
        "cold": load.cold,
        "versions": [str(version) for version in sorted(sidecar.served)],
    }
