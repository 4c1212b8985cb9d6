"""Gateways, endpoints and the platform's log, simulated in one event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from attrs import define, evolve, field

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.front_connection import FrontConnection, Serve
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.operator_decision import RolloutSpec
from acaciacove.gateway.running_gateway import RunningGateway
from acaciacove.platform import names
from acaciacove.platform.header_fields import DIALECT
from acaciacove.platform.log_client import LogClient
from acaciacove.platform.record_writer import (
    write_catalogue,
    write_endpoint,
    write_rollout,
)
from acaciacove.platform.records import CODEC
from acaciacove.settings.gateway_settings import GatewaySettings
from acaciacove.standins.endpoint_arrival import EndpointArrival
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from acaciacove.standins.endpoint_server import EndpointServer
from acaciacove.standins.keyed_log_server import KeyedLogServer
from acaciacove.standins.keyed_log_state import KeyedLogCopy, KeyedLogState

STORE_PORT = 7000
FRONT_PORT = 8000
READINESS_PORT = 8001
PEER_PORT = 8002
ENDPOINT_PORT = 9000
# Wide enough for every request that a gateway may send.
STANDIN_LIMITS = CallerLimits(max_header_bytes=65_536, idle_timeout_s=10.0)
# Time from a crash to the restart.
RESTART_DELAY_S = 2.0
# How long a log is away before it returns from a copy.
DRILL_AWAY_S = 1.0
OPERATOR = names.STREAMS[LogStream.OPERATOR]
ENDPOINTS = names.STREAMS[LogStream.ENDPOINTS]
OUTCOMES = names.STREAMS[LogStream.OUTCOMES]
ServeGossip = Callable[[Gateway, MetadataLog], Awaitable[None]]


async def serve_no_gossip(gateway: Gateway, metadata: MetadataLog) -> None:
    """Run a gateway without peers, for event loops without datagrams."""
    await asyncio.Event().wait()


@define(eq=False, slots=False)
class GatewayFleet:
    """A small platform; tests change ``store``, the behaviours and the catalogue."""

    store_host: str = "10.0.0.1"
    store: KeyedLogState = field(factory=KeyedLogState)
    endpoints: dict[str, EndpointServer] = field(factory=dict)
    gateways: dict[str, RunningGateway] = field(factory=dict)
    arrivals: list[EndpointArrival] = field(factory=list)
    suspended_s: float = 0.0
    _servers: dict[str, asyncio.Server] = field(factory=dict)
    _connections: dict[str, set[FrontConnection]] = field(factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = field(factory=dict)
    _restarts: set[asyncio.Task[None]] = field(factory=set)
    _stops: dict[str, asyncio.Event] = field(factory=dict)

    def boot_time_s(self) -> float:
        """Return the simulated boot time, which includes time spent suspended."""
        return asyncio.get_running_loop().time() + self.suspended_s

    async def open(self) -> None:
        """Start the server of the log."""
        await self.listen("", self.store_host, STORE_PORT, self._log_server().serve)

    def _log_server(self) -> KeyedLogServer:
        return KeyedLogServer(self.store)

    async def listen(self, name: str, host: str, port: int, serve: Serve) -> None:
        """Serve HTTP at an address until ``name`` crashes or the fleet is closed."""
        connections: set[FrontConnection] = set()

        def protocol() -> FrontConnection:
            return FrontConnection(
                serve, DIALECT, lambda: STANDIN_LIMITS, lambda: False, connections
            )

        loop = asyncio.get_running_loop()
        self._servers[name] = await loop.create_server(protocol, host, port)
        self._connections[name] = connections

    async def add_endpoint(
        self, report: EndpointReport, behaviour: EndpointBehaviour | None = None
    ) -> EndpointServer:
        """Start an endpoint and register it."""
        server = EndpointServer(
            report,
            behaviour or EndpointBehaviour(),
            self.arrivals,
            lambda: self.crash_and_restart(report.instance),
        )
        self.endpoints[report.instance] = server
        await self.listen(report.instance, report.host, report.port, server.serve)
        self.register(report)
        return server

    def register(self, report: EndpointReport) -> None:
        """Append an endpoint's record to the log."""
        self.store.append(ENDPOINTS, report.instance, write_endpoint(report))

    def announce_draining(self, instance: str) -> None:
        """Register an endpoint as draining; it continues to serve."""
        report = evolve(self.endpoints[instance].report, draining=True)
        self.register(report)

    def crash(self, instance: str) -> None:
        """Stop an endpoint and abort its connections; its record remains."""
        self._servers.pop(instance).close()
        for connection in list(self._connections.pop(instance)):
            connection.abort()

    def crash_and_restart(self, instance: str) -> None:
        """Crash an endpoint and restart it after a delay under a new name."""
        if instance not in self._servers:
            return
        self.crash(instance)
        loop = asyncio.get_running_loop()
        loop.call_later(
            RESTART_DELAY_S, lambda: self._start_task(self._restart(instance))
        )

    async def _restart(self, instance: str) -> None:
        before = self.endpoints.pop(instance)
        name, _, incarnation = instance.partition(".")
        restarted = f"{name}.{int(incarnation or 0) + 1}"
        self.store.append(ENDPOINTS, instance, b"")
        await self.add_endpoint(
            evolve(before.report, instance=restarted), before.behaviour
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def cut_connections(self, instance: str) -> None:
        """Abort an endpoint's connections; it continues to listen."""
        for connection in list(self._connections[instance]):
            connection.abort()

    def publish(self, catalogue: Catalogue) -> None:
        """Append a catalogue, which takes effect once gateways read it."""
        record = write_catalogue(catalogue)
        self.store.append(OPERATOR, names.CATALOGUE_KEY, record)

    def take_zone_out(self, zone: str) -> None:
        """Take an availability zone out of service."""
        self.store.append(OPERATOR, names.ZONE_OUT_KEY + zone, b"{}")

    def take_zone_in(self, zone: str) -> None:
        """Return an availability zone to service."""
        self.store.append(OPERATOR, names.ZONE_OUT_KEY + zone, b"")

    def roll_out(self, spec: RolloutSpec) -> None:
        """Order a roll-out."""
        key = names.ROLLOUT_KEY + spec.service
        self.store.append(OPERATOR, key, write_rollout(spec))

    def outcome(self, service: str) -> str:
        """Return the recorded state of a roll-out, or an empty string."""
        found = self.store.newest[OUTCOMES].get(names.ROLLOUT_KEY + service)
        return found[1].decode() if found else ""

    async def restore_log(
        self, copy: KeyedLogCopy, away_s: float = DRILL_AWAY_S
    ) -> None:
        """Take the log away for a moment and bring it back from a copy.

        Operators and endpoints write their newest records again.
        """
        self.store.down = "reset"
        await asyncio.sleep(away_s)
        self.return_log(copy)
        self.store.down = None

    def return_log(self, copy: KeyedLogCopy) -> None:
        """Bring the log back from a copy; what was written again is in it at once."""
        newest = self.store.copy().newest
        self.store.restore(copy)
        for stream in (OPERATOR, ENDPOINTS):
            self._write_again(stream, newest.get(stream, {}))

    def _write_again(self, stream: str, newest: dict[str, tuple[int, bytes]]) -> None:
        for key in set(self.store.newest[stream]) - set(newest):
            self.store.append(stream, key, b"")
        for key, (_, value) in newest.items():
            found = self.store.newest[stream].get(key)
            if found is None or found[1] != value:
                self.store.append(stream, key, value)

    async def add_gateway(
        self,
        settings: GatewaySettings,
        serve_gossip: ServeGossip = serve_no_gossip,
        seed: int = 0,
    ) -> RunningGateway:
        """Start a gateway; it accepts callers once it is ready."""
        metadata = LogClient(self.store_host, STORE_PORT, settings.name)
        log = EventLog(settings.name, descriptor=None)
        running = RunningGateway(
            settings,
            DIALECT,
            CODEC,
            metadata,
            log,
            clock_s=self.boot_time_s,
            open_peers=serve_gossip,
        )
        running.gateway.random = running.gateway.guard.random = Random(seed)
        stop = asyncio.Event()
        self.gateways[settings.name] = running
        self._stops[settings.name] = stop
        self._tasks[settings.name] = asyncio.create_task(running.run(stop))
        return running

    async def stop_gateway(self, name: str) -> None:
        """Shut a gateway down and wait until it has stopped."""
        self._stops[name].set()
        await self._tasks[name]

    def kill_gateway(self, name: str) -> None:
        """Kill a gateway without a graceful shutdown."""
        self._tasks.pop(name).cancel()

    async def close(self) -> None:
        """Stop all gateways and servers."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for server in self._servers.values():
            server.close()
        for connections in self._connections.values():
            for connection in list(connections):
                connection.abort()


def gateway_settings(name: str, host: str, zone: str) -> GatewaySettings:
    """Return the settings of a gateway for the ports of this platform."""
    return GatewaySettings(
        name=name,
        availability_zone=zone,
        region="south",
        host=host,
        front_address=f"{host}:{FRONT_PORT}",
        readiness_address=f"{host}:{READINESS_PORT}",
        peer_port=PEER_PORT,
        log_address=f"{host}:{STORE_PORT}",
        region_of_zone={"a": "south", "b": "south", "c": "south"},
        retry_ratio=0.9,
        retry_extra=50.0,
        exposure_share=0.15,
        exposure_extra=30.0,
        cold_overage=1.5,
        cold_extra=5.0,
    )
