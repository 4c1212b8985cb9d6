"""Processes, servers and links of a soak, and the record of the run."""

import asyncio
import os
from collections import deque
from pathlib import Path
from random import Random

from attrs import define, evolve, field

from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.settings.gateway_settings import GatewaySettings
from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.addresses import (
    ENDPOINT_PORT,
    FRONT_PORT,
    LOG_PORT,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
    Addresses,
    addresses_of,
)
from acaciacove.soak.bounds import (
    DRAIN_S,
    GRACE_S,
    HEARTBEAT_S,
    LINK_BYTES_PER_S,
    MEMORY_LIMIT_BYTES,
    PROPAGATION_S,
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    REVOCATION_S,
)
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.fault_kind import FaultKind
from acaciacove.soak.gateway_process import GatewayProcess
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.proxy import Proxy
from acaciacove.soak.soak_catalogue import APP, KEYS, MODEL, SIZES, soak_catalogue
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from acaciacove.standins.endpoint_server import EndpointServer
from acaciacove.standins.gateway_fleet import ENDPOINTS, RESTART_DELAY_S, GatewayFleet
from acaciacove.standins.keyed_log_state import KeyedLogCopy

ZONES = ("a", "b", "c")
# Entries expire after so many heartbeats that did not reach the log.
EXPIRY_HEARTBEATS = 3
HEARTBEAT_STEP_S = 0.1
# The loop checks its clock at this interval. A delay beyond STALL_S is a stall of the
# machine, during which the soak's time measurements are not valid.
STALL_STEP_S = 0.05
STALL_S = 0.25
COPY_INTERVAL_S = 1.0
# The log returns from one of the newest copies, which are up to 8 s old.
MAX_LOG_COPIES = 8
# Endpoints of every other two seeds report a pace, which changes many times a second.
PACE_INTERVAL_S = 0.05
MIN_PACE_PERCENT, MAX_PACE_PERCENT = 50, 300


@define(eq=False)
class SoakEnvironment:
    """The simulated platform, the gateways, their links, and the record of the run.

    ``crashing`` maps the bodies of requests that crash the endpoint that runs them to
    the API keys that callers send them with. ``crashing_parts`` are the parts of
    prompts that do.
    """

    settings: SoakSettings
    folder: Path
    addresses: Addresses = field(factory=lambda: addresses_of(os.getpid()))
    fleet: GatewayFleet = field(init=False)
    gateways: list[GatewayProcess] = field(factory=list)
    log_links: list[Proxy] = field(factory=list)
    endpoint_links: dict[str, Proxy] = field(factory=dict)
    servers: dict[str, EndpointServer] = field(factory=dict)
    zone_of: dict[str, str] = field(factory=dict)
    ready: set[int] = field(factory=set)
    calls: list[CallRecord] = field(factory=list)
    faults: list[InjectedFault] = field(factory=list)
    stalls: list[tuple[float, float]] = field(factory=list)
    keys: list[str] = field(factory=lambda: list(KEYS))
    revoked_s: dict[str, float] = field(factory=dict)
    crashing: dict[bytes, str] = field(factory=dict)
    crashing_parts: dict[str, None] = field(factory=dict)
    zones_out: set[str] = field(factory=set)
    are_callers_slow: bool = False
    are_connections_concentrated: bool = False
    catalogue_version: int = 1
    log_copies: deque[KeyedLogCopy] = field(
        factory=lambda: deque(maxlen=MAX_LOG_COPIES)
    )
    _last_heartbeats_s: dict[str, float] = field(factory=dict)
    _endpoints_started: int = 0
    _restarts: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the fleet, whose address depends on ``addresses``."""
        self.fleet = GatewayFleet(store_host=self.addresses.log())
        self.fleet.store.link_bytes_per_s = LINK_BYTES_PER_S

    async def open(self) -> None:
        """Start the log, the endpoints and the gateways."""
        await self.fleet.open()
        self.publish()
        for number in range(self.settings.endpoints):
            await self.add_endpoint(APP if number % 2 else MODEL)
        for number in range(self.settings.gateways):
            await self._add_gateway(number)

    def publish(self, added_routes: int = 0) -> None:
        """Publish a new version of the catalogue with the currently valid keys."""
        self.catalogue_version += 1
        self.fleet.publish(
            soak_catalogue(self.catalogue_version, self.keys, added_routes)
        )

    async def add_endpoint(self, service: str) -> None:
        """Start an endpoint with a new name behind its own proxy."""
        number = self._endpoints_started
        self._endpoints_started += 1
        report = EndpointReport(
            instance=f"i-{number}",
            started_ms=1,
            service=service,
            host=self.addresses.advertised_endpoint(number),
            port=ENDPOINT_PORT,
            availability_zone=ZONES[number % len(ZONES)],
            version="v1",
            slots=64,
            draining=False,
            cold_remaining_s=0.0,
        )
        behaviour = EndpointBehaviour(
            confidence=dict(zip(SIZES, (40, 99), strict=True)),
            crashing_bodies=self.crashing,
            crashing_parts=self.crashing_parts,
        )
        server = EndpointServer(
            report,
            behaviour,
            self.fleet.arrivals,
            lambda: self._crash_on_request(report.instance),
        )
        listen_address = (self.addresses.endpoint(number), ENDPOINT_PORT)
        await self.fleet.listen(report.instance, *listen_address, server.serve)
        link = Proxy((report.host, report.port), listen_address)
        await link.open()
        self.endpoint_links[report.instance] = link
        self.servers[report.instance] = server
        self.zone_of[report.instance] = report.availability_zone
        self.fleet.register(report)
        self._last_heartbeats_s[report.instance] = asyncio.get_running_loop().time()

    def _crash_on_request(self, instance: str) -> None:
        """Crash an endpoint, and start a replacement after ``BACK_S``."""
        server = self.servers.get(instance)
        if server is None:
            return
        loop = asyncio.get_running_loop()
        crashed = InjectedFault(
            FaultKind.ENDPOINT_CRASHES, instance, loop.time(), loop.time()
        )
        self.faults.append(crashed)
        # A kernel closes the connections of a process that has ended in order.
        self.remove_endpoint(instance, in_order=True)
        restart = loop.create_task(self._replace(server.report.service))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _replace(self, service: str) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        await self.add_endpoint(service)

    def remove_endpoint(self, instance: str, in_order: bool = False) -> None:
        """Stop an endpoint, close its connections and remove its entry.

        The connections to gateways are reset, or else closed ``in_order``.
        """
        if self.servers.pop(instance, None) is None:
            return
        self._last_heartbeats_s.pop(instance, None)
        self.fleet.store.append(ENDPOINTS, instance, b"")
        self.fleet.crash(instance)
        link = self.endpoint_links.pop(instance)
        if in_order:
            link.stop_listening()
        else:
            link.close()

    def depart(self, instance: str, is_announced: bool) -> bool:
        """Mark an endpoint's entry as draining, or remove the entry.

        Return False if the log is unavailable, so that nothing was written.
        """
        if self.fleet.store.down is not None:
            return False
        server = self.servers.get(instance)
        if server is None:
            return True
        server.report = evolve(server.report, draining=True)
        self._last_heartbeats_s.pop(instance, None)
        if is_announced:
            self.fleet.register(server.report)
        else:
            self.fleet.store.append(ENDPOINTS, instance, b"")
        return True

    async def _add_gateway(self, number: int) -> None:
        link = Proxy(
            (self.addresses.log_for_gateway(number), LOG_PORT),
            (self.addresses.log(), LOG_PORT),
        )
        await link.open()
        self.log_links.append(link)
        gateway = GatewayProcess(self._gateway_settings(number), self.folder)
        self.gateways.append(gateway)
        await gateway.start()

    def _gateway_settings(self, number: int) -> GatewaySettings:
        host = self.addresses.gateway(number)
        return GatewaySettings(
            name=f"gateway-{number}",
            availability_zone=ZONES[number % len(ZONES)],
            region="south",
            host=host,
            front_address=f"{host}:{FRONT_PORT}",
            readiness_address=f"{host}:{READINESS_PORT}",
            peer_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            log_address=f"{self.addresses.log_for_gateway(number)}:{LOG_PORT}",
            region_of_zone=dict.fromkeys(ZONES, "south"),
            grace_s=GRACE_S,
            revocation_s=REVOCATION_S,
            propagation_s=PROPAGATION_S,
            drain_s=DRAIN_S,
            heartbeat_s=HEARTBEAT_S,
            retry_ratio=RETRY_RATIO,
            retry_extra=RETRY_EXTRA,
            retry_window_s=RETRY_WINDOW_S,
            overload_control=self.settings.seed % 2 == 1,
            memory_limit_bytes=MEMORY_LIMIT_BYTES,
        )

    async def send_heartbeats(self) -> None:
        """Renew endpoints' entries while heartbeats reach the log, and expire others.

        A heartbeat writes no record unless the entry is missing.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEARTBEAT_STEP_S)
            for instance, last_heartbeat_s in list(self._last_heartbeats_s.items()):
                self._send_heartbeat(instance, last_heartbeat_s, loop.time())

    def _send_heartbeat(
        self, instance: str, last_heartbeat_s: float, now_s: float
    ) -> None:
        store = self.fleet.store
        is_registered = instance in store.newest[ENDPOINTS]
        if store.down is None and now_s - last_heartbeat_s >= HEARTBEAT_S:
            self._last_heartbeats_s[instance] = now_s
            if not is_registered:
                self.fleet.register(self.servers[instance].report)
        elif (
            is_registered
            and now_s - last_heartbeat_s >= EXPIRY_HEARTBEATS * HEARTBEAT_S
        ):
            store.append(ENDPOINTS, instance, b"")

    async def copy_log(self) -> None:
        """Make a copy of the log each second, from which it may return."""
        while True:
            self.log_copies.append(self.fleet.store.copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def change_paces(self) -> None:
        """Change the pace that endpoints report and keep, until cancelled."""
        if self.settings.seed // 2 % 2:
            return
        random = Random(f"paces/{self.settings.seed}")
        while True:
            for server in self.servers.values():
                pace_percent = random.randint(MIN_PACE_PERCENT, MAX_PACE_PERCENT)
                server.behaviour.pace_percent = pace_percent
                server.behaviour.gap_s = (
                    EndpointBehaviour().gap_s * pace_percent / 100.0
                )
            await asyncio.sleep(PACE_INTERVAL_S)

    async def watch_stalls(self) -> None:
        """Record stalls of this process, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(STALL_STEP_S)
            if loop.time() - before_s - STALL_STEP_S > STALL_S:
                self.stalls.append((before_s, loop.time()))

    async def close(self) -> None:
        """Kill the gateway processes that this soak started, and close its servers."""
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))
        for link in [*self.log_links, *self.endpoint_links.values()]:
            link.close()
        await self.fleet.close()
