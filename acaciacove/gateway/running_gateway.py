"""One gateway process: its state, and the tasks that share it."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import closing
from typing import Any

from attrs import define, field

from acaciacove.daemon.background import background
from acaciacove.gateway.caller_listener import CallerListener
from acaciacove.gateway.endpoint_reader import EndpointReader
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.follow_log import FollowedStream, follow_log
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.instrumented_log import InstrumentedLog
from acaciacove.gateway.listen import listen
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.operator_pages import OperatorPages
from acaciacove.gateway.operator_reader import OperatorReader
from acaciacove.gateway.outcome_recorder import OutcomeRecorder
from acaciacove.gateway.quarantine.quarantine_records import sync_records
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.relay.relayed_log import RelayedLog
from acaciacove.gateway.routing_view import RoutingView, boot_time_s
from acaciacove.gateway.watch_load import watch_load
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
# Callers give an unread request one second. A start without a usable view after half of
# that refuses them, in time for an attempt elsewhere.
START_WAIT_S = 0.5
START_POLL_S = 0.005


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
    callers: CallerListener = field(init=False)
    pages: OperatorPages = field(init=False)
    relayed: RelayedLog = field(init=False)
    operator: OperatorReader = field(init=False)
    endpoints: EndpointReader = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the state that the tasks share."""
        view = RoutingView(self.clock_s)
        self.gateway = Gateway(self.settings, self.dialect, view, self.log)
        self.callers = CallerListener(self.gateway, self.dialect, self.front_socket)
        self.pages = OperatorPages(self.gateway, self.dialect, self.callers)
        self.relayed = self._relayed(
            InstrumentedLog(self.metadata, self.gateway.metrics, self.gateway.era)
        )
        self.metadata = self.relayed
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
        ready = await listen(self.settings.readiness_address, self.pages.probe_protocol)
        metrics = await listen(
            self.settings.metrics_address, self.pages.operator_protocol
        )
        recorder = OutcomeRecorder(self.gateway, self.metadata, self.codec)
        # A connection that is open when the event loop has ended leaves a traceback.
        with closing(self.relayed):
            await self._serve_until(stop, recorder)
        ready.close()
        metrics.close()
        self.log.write(Event.STOPPED, open_connections=len(self.callers.connections))

    async def _serve_until(
        self, stop: asyncio.Event, recorder: OutcomeRecorder
    ) -> None:
        """Run all tasks; serve callers until ``stop`` is set, and drain them."""
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
            front = await self.callers.open()
            await stop.wait()
            await self.callers.drain(front)

    async def _wait_for_view(self) -> None:
        """Leave callers in the kernel's accept queue until the view is usable.

        The first answers of the log take milliseconds. A caller that is refused in that
        time retries seconds later, or not at all.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + START_WAIT_S
        while not self.gateway.view.is_usable and loop.time() < deadline_s:
            await asyncio.sleep(START_POLL_S)

    async def _load_metrics(self) -> None:
        await self.gateway.metrics.load()
        await asyncio.Event().wait()

    async def _join_gossip(self) -> None:
        """Start gossip with the other gateways once callers can be served."""
        while not self.gateway.view.is_usable:
            await asyncio.sleep(START_POLL_S)
        await self.open_peers(self.gateway, self.metadata)

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
