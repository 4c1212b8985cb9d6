"""One gateway process: its listeners, its tasks, and its shutdown."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from attrs import define, field

from acaciacove.daemon.background import background
from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.endpoint_reader import EndpointReader
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.follow_log import FollowedStream, follow_log
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.gauges import read_gauges
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.errors import CallerDisconnectedError, ConnectionLostError
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.http.held_bytes import HoldingCaller
from acaciacove.gateway.instrumented_log import InstrumentedLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.operator_reader import OperatorReader
from acaciacove.gateway.outcome_recorder import OutcomeRecorder
from acaciacove.gateway.probe_protocol import ProbeAnswer, ProbeProtocol
from acaciacove.gateway.quarantine.quarantine_records import sync_records
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.relay.relayed_log import RelayedLog
from acaciacove.gateway.routing_view import RoutingView, boot_time_s
from acaciacove.gateway.serve_request import refuse_unread, serve_request
from acaciacove.gateway.status_page import StatusPage
from acaciacove.gateway.watch_load import may_accept, watch_load
from acaciacove.settings.gateway_settings import GatewaySettings

# While other gateways read through this one, its own reads of the log have shorter
# waits, so that the others notice in time if it loses the log. Without a request for
# this long, no gateway is assumed to read through it.
RELAY_REQUEST_MEMORY_S = 5.0
TRIM_EVERY_S = 1.0
# Entries that an outage may have removed are retained until a read after their time has
# shown that they are not back. A read that waits for longer would retain them too long
# for an endpoint that has left.
RETAINED_WAIT_S = 0.1
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
JSON_TYPE = b"application/json"
LISTEN_BACKLOG = 1024
# Callers give an unread request one second. A start without a usable view after half of
# that refuses them, in time for an attempt elsewhere.
START_WAIT_S = 0.5
START_POLL_S = 0.005
# The part of the time between SIGTERM and SIGKILL that is reserved for the exit.
SHUTDOWN_MARGIN_S = 0.4
# After SIGTERM the balancer needs two failed probes, one second apart, before it sends
# no more callers here. A request that arrives later might not be finished before the
# exit, so none is accepted after this time.
ACCEPT_AFTER_STOP_S = 2.6
# If the process has less time than that, it accepts callers for this share of it.
ACCEPT_AFTER_STOP_SHARE = 0.5
SHUTDOWN_MARGIN_SHARE = 0.1
SHUTDOWN_POLL_S = 0.05


async def load_and_gossip(gateway: Gateway, metadata: MetadataLog) -> None:
    """Exchange gossip with other gateways until cancelled.

    The gossip codec is slow to load, and a request does not need it immediately, so it
    is not imported with this module.
    """
    from acaciacove.gateway.peers.serve_peers import serve_peers

    await serve_peers(gateway, metadata)


@define(eq=False)
class RunningGateway:
    """The tasks of one gateway and the state that they share."""

    settings: GatewaySettings
    dialect: Dialect
    codec: RecordCodec
    metadata: MetadataLog
    log: EventLog
    front_socket: socket.socket | None = None
    clock_s: Callable[[], float] = boot_time_s
    open_peers: Callable[[Gateway, MetadataLog], Awaitable[None]] = load_and_gossip
    gateway: Gateway = field(init=False)
    status: StatusPage = field(init=False)
    operator: OperatorReader = field(init=False)
    endpoints: EndpointReader = field(init=False)
    connections: set[FrontConnection] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the state that the tasks share."""
        view = RoutingView(self.clock_s)
        self.gateway = Gateway(self.settings, self.dialect, view, self.log)
        self.status = StatusPage(self.gateway)
        self.metadata = self._relayed(
            InstrumentedLog(self.metadata, self.gateway.metrics, self.gateway.era)
        )
        self.gateway.held.report_cut = self._report_cut
        self.operator = OperatorReader(view, self.codec, self.log)
        self.endpoints = EndpointReader(self.gateway, self.codec)

    def _relayed(self, metadata: MetadataLog) -> RelayedLog:
        gateway = self.gateway
        return RelayedLog(
            name=self.settings.name,
            availability_zone=self.settings.availability_zone,
            metadata=metadata,
            members=lambda: gateway.members,
            clock_s=self.clock_s,
            log=self.log,
            metrics=gateway.metrics,
            relay_intervals=lambda: gateway.relay_intervals,
            era=gateway.era,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain the callers' connections."""
        self.gateway.started_s = asyncio.get_running_loop().time()
        self.log.write(Event.STARTED, zone=self.settings.availability_zone)
        ready = await self._listen(self.settings.readiness_address, self._probe)
        metrics = await self._listen(
            self.settings.metrics_address, self._operator_probe
        )
        recorder = OutcomeRecorder(self.gateway, self.metadata, self.codec)
        async with background(
            *self._followers(),
            self._trim(),
            self._expire_retained(),
            self._join_gossip(),
            recorder.run(),
            sync_records(self.gateway, self.metadata),
            self._load_metrics(),
            watch_load(self.gateway),
        ):
            await self._wait_for_view()
            front = await self._listen_to_callers()
            await stop.wait()
            await self._shut_down(front)
        ready.close()
        metrics.close()
        self.log.write(Event.STOPPED, open_connections=len(self.connections))

    async def _wait_for_view(self) -> None:
        """Leave callers in the kernel's accept queue until the view is usable.

        The first answers of the log take milliseconds. A caller that is refused in that
        time retries seconds later, or not at all.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + START_WAIT_S
        while not self.gateway.view.is_usable and loop.time() < deadline_s:
            await asyncio.sleep(START_POLL_S)

    async def _listen_to_callers(self) -> asyncio.Server:
        if self.front_socket is None:
            return await self._listen(self.settings.front_address, self._front)
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            self._front, sock=self.front_socket, backlog=LISTEN_BACKLOG
        )

    async def _load_metrics(self) -> None:
        await self.gateway.metrics.load()
        await asyncio.Event().wait()

    async def _join_gossip(self) -> None:
        """Start gossip with the other gateways once callers can be served."""
        while not self.gateway.view.is_usable:
            await asyncio.sleep(START_POLL_S)
        await self.open_peers(self.gateway, self.metadata)

    async def _listen(
        self, address: str, protocol: Callable[[], asyncio.BaseProtocol]
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            protocol, host, int(port), backlog=LISTEN_BACKLOG
        )

    def _front(self) -> FrontConnection:
        return FrontConnection(
            self._serve,
            self.dialect,
            self._limits,
            lambda: self.gateway.shutting_down,
            self.connections,
            self.gateway.held,
            self._refuse_unread,
            lambda: may_accept(self.gateway, len(self.connections)),
        )

    def _limits(self) -> CallerLimits:
        catalogue = self.gateway.view.catalogue
        return catalogue.limits if catalogue is not None else CallerLimits()

    async def _serve(self, request: CallerRequest, front: FrontConnection) -> None:
        try:
            await serve_request(self.gateway, request, front)
        except (CallerDisconnectedError, ConnectionLostError):
            raise
        except Exception as error:
            self.log.write(
                Event.FAULT,
                request_id=request.hints.request_id,
                detail=repr(error),
            )
            raise

    async def _refuse_unread(
        self, request: CallerRequest, front: FrontConnection
    ) -> None:
        await refuse_unread(self.gateway, request, front)

    def _report_cut(self, caller: HoldingCaller, idle_s: float) -> None:
        self.gateway.metrics.count(Metric.CALLERS_CUT)
        self.log.write(
            Event.CALLER_CUT,
            request_id=caller.request_id,
            held_bytes=caller.unread_bytes,
            idle_s=round(idle_s, 3),
        )

    def _probe(self) -> ProbeProtocol:
        return ProbeProtocol(self._answer_probe)

    def _answer_probe(self, path: str) -> ProbeAnswer:
        if path == self.dialect.readiness_path:
            return ProbeAnswer(200 if self.is_ready() else 503)
        if path == METRICS_PATH:
            return ProbeAnswer(200, self.metrics_page())
        return ProbeAnswer(404)

    def _operator_probe(self) -> ProbeProtocol:
        return ProbeProtocol(self._answer_operator_probe)

    def _answer_operator_probe(self, path: str) -> ProbeAnswer:
        """Answer on the metrics port, which callers and the balancer do not use."""
        if path == STATUS_PATH:
            return ProbeAnswer(200, self.status.read(), JSON_TYPE)
        return self._answer_probe(path)

    def metrics_page(self) -> bytes:
        """Return counters, histograms and gauges as text."""
        gateway = self.gateway
        return gateway.metrics.render(
            lambda: read_gauges(gateway, len(self.connections))
        )

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        gateway = self.gateway
        return (
            gateway.view.is_usable
            and not gateway.shutting_down
            and gateway.shedder.takes_connections(len(self.connections))
        )

    def _followers(self) -> list[Coroutine[Any, Any, None]]:
        view = self.gateway.view
        streams = (
            FollowedStream(
                LogStream.OPERATOR,
                lambda: self._wait_s(
                    LogStream.OPERATOR, self.gateway.relay_intervals.log_wait_s
                ),
                lambda: 0.0,
                lambda: self.gateway.relay_intervals.retry_s,
                self._on_decisions,
            ),
            FollowedStream(
                LogStream.ENDPOINTS,
                lambda: self._wait_s(LogStream.ENDPOINTS, self._endpoints_wait_s()),
                self._read_pause_s,
                lambda: self.gateway.relay_intervals.retry_s,
                self._on_endpoints,
            ),
        )
        random = self.gateway.random
        return [
            follow_log(
                stream, self.metadata, self.gateway.era, self.log, view.clock_s, random
            )
            for stream in streams
        ]

    def _read_pause_s(self) -> float:
        """Return the pause between reads of endpoints, longer for more endpoints.

        It ends when a read can show that a retained entry is not back.
        """
        pause_s = self.gateway.relay_intervals.read_pause_s(
            len(self.gateway.view.endpoints)
        )
        return min(pause_s, self.endpoints.next_expiry_in_s)

    def _endpoints_wait_s(self) -> float:
        if self.endpoints.is_waiting_for_entries:
            return RETAINED_WAIT_S
        return self.gateway.relay_intervals.endpoints_wait_s(
            len(self.gateway.view.endpoints)
        )

    def _wait_s(self, stream: LogStream, relay_wait_s: float) -> float:
        """Return how long a read may wait, less while peers read through this one."""
        if relay_wait_s <= RETAINED_WAIT_S:
            return relay_wait_s
        requested_boot_s = self.gateway.tails[stream].requested_boot_s
        is_relaying = self.clock_s() - requested_boot_s < RELAY_REQUEST_MEMORY_S
        unshared_wait_s = self.gateway.relay_intervals.unshared_wait_s
        return min(unshared_wait_s, relay_wait_s) if is_relaying else unshared_wait_s

    def _on_decisions(self, reading: LogReading) -> None:
        self.gateway.tails[LogStream.OPERATOR].apply(reading)
        self.operator.apply_reading(reading)

    def _on_endpoints(self, reading: LogReading) -> None:
        view = self.gateway.view
        self.gateway.tails[LogStream.ENDPOINTS].apply(reading)
        was_loaded = view.endpoints_loaded
        self.endpoints.apply_reading(reading)
        if not was_loaded:
            self.log.write(Event.READY, endpoints=len(view.endpoints))

    async def _trim(self) -> None:
        while True:
            await asyncio.sleep(TRIM_EVERY_S)
            self.gateway.states.sync(self.gateway.view.endpoints.values())

    async def _expire_retained(self) -> None:
        while True:
            await asyncio.sleep(self.gateway.relay_intervals.expiry_check_s)
            self.endpoints.expire()

    async def _shut_down(self, front: asyncio.Server) -> None:
        """Stop accepting callers and finish the requests in progress."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.gateway.shutting_down = True
        self.log.write(Event.LEAVING, open_connections=len(self.connections))
        grace_s = self.settings.grace_s
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, ACCEPT_AFTER_STOP_SHARE * grace_s))
        front.close()
        deadline_s = (
            began_s + grace_s - min(SHUTDOWN_MARGIN_S, SHUTDOWN_MARGIN_SHARE * grace_s)
        )
        while self.connections and loop.time() < deadline_s:
            for connection in list(self.connections):
                connection.close_if_idle()
            await asyncio.sleep(SHUTDOWN_POLL_S)
