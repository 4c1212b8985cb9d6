"""Starts a gateway, reloads its settings, and runs it until it is stopped."""

import asyncio
import signal
import socket
from collections.abc import Callable

from attrs import fields

from acaciacove.errors import InvalidSettingsError
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.running_gateway import RunningGateway
from acaciacove.settings.gateway_settings import GatewaySettings

# Settings can change without a signal; each check reads a file of two kilobytes.
RELOAD_EVERY_S = 5.0
# Settings that a running process cannot change without a restart.
RESTART_ONLY = frozenset(
    {"name", "host", "front_address", "readiness_address", "peer_port", "log_address"}
)


async def serve_gateway(
    read_settings: Callable[[], GatewaySettings],
    dialect: Dialect,
    codec: RecordCodec,
    metadata: MetadataLog,
    front: socket.socket | None = None,
    build_id: str | None = None,
) -> None:
    """Run one gateway until SIGTERM or SIGINT.

    ``front`` is a listening socket for callers that the process has already opened.
    ``build_id`` identifies the sources of the process in its log.
    """
    settings = read_settings()
    log = EventLog(settings.name)
    log.write(Event.BUILD, build_id=build_id)
    running = RunningGateway(settings, dialect, codec, metadata, log, front)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: reload(running, read_settings, signalled=True)
    )
    # The signal was ignored until now.
    reload(running, read_settings, signalled=False)
    watch = asyncio.create_task(_reload_periodically(running, read_settings))
    try:
        await running.run(stop)
    finally:
        watch.cancel()


async def _reload_periodically(
    running: RunningGateway, read_settings: Callable[[], GatewaySettings]
) -> None:
    while True:
        await asyncio.sleep(RELOAD_EVERY_S)
        reload(running, read_settings, signalled=False)


def reload(
    running: RunningGateway,
    read_settings: Callable[[], GatewaySettings],
    signalled: bool,
) -> None:
    """Apply changed settings; invalid ones leave the previous settings in force."""
    gateway = running.gateway
    try:
        settings = read_settings()
    except InvalidSettingsError as error:
        gateway.log.write(Event.SETTINGS_UNREADABLE, faults=error.faults)
        return
    changed = [
        field.name
        for field in fields(GatewaySettings)
        if getattr(settings, field.name) != getattr(gateway.settings, field.name)
    ]
    if not changed and not signalled:
        return
    restart_only = sorted(RESTART_ONLY.intersection(changed))
    if not restart_only:
        gateway.apply_settings(settings)
    gateway.log.write(
        Event.RELOADED, changed=changed, need_restart=restart_only, signalled=signalled
    )
