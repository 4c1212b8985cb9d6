"""Builds an entry, runs its tasks and drains it at shutdown."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from aioprometheus import Registry
from attrs import define

from acaciacove.adapters.http_client import open_client
from acaciacove.adapters.http_instance_list import HttpInstanceList
from acaciacove.adapters.http_log import HttpLog
from acaciacove.adapters.http_rating_service import HttpRatingService
from acaciacove.daemon.background import background
from acaciacove.daemon.billing import flush, tick_billing
from acaciacove.daemon.drain import drain
from acaciacove.daemon.http_server import http_server
from acaciacove.daemon.message_server import message_server
from acaciacove.daemon.peer_sockets import bind_peer_sockets
from acaciacove.daemon.probes import probe_routes
from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.daemon.process_metrics import ProcessMetrics
from acaciacove.daemon.serve_peer import serve_peer
from acaciacove.daemon.shared_state import (
    SharedState,
    build_shared_state,
    describe_shared_state,
    new_incarnation,
)
from acaciacove.decisions.budget import Budget
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.answer_rater import AnswerRater
from acaciacove.entry.app import build_entry_app
from acaciacove.entry.bill_request import send_billing_confirmations
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.dispatch import dispatch
from acaciacove.entry.entry_metrics import EntryMetrics
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.estimates_record import ESTIMATES_STREAM
from acaciacove.entry.link_factory import build_link_factory
from acaciacove.entry.quality_monitor import QualityMonitor
from acaciacove.entry.quality_monitoring import (
    apply_estimates,
    apply_evidence,
    monitor_quality,
)
from acaciacove.entry.routable_instances import routable_instances
from acaciacove.entry.router import Router
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.log_tail import LogTail
from acaciacove.state.session_pins import SessionPins
from acaciacove.wire.connection import Connection


@define(eq=False)
class RunningEntry:
    """A running entry; the ports are the bound ones.

    ``cut`` is set at shutdown: whether the drain limit expired with requests or
    billing records left.
    """

    state: EntryState
    shared: SharedState
    http_port: int
    peer_port: int
    cut: bool = False


@asynccontextmanager
async def running_entry(settings: EntrySettings) -> AsyncIterator[RunningEntry]:
    """Serve callers while the block runs, and drain when it ends."""
    registry = Registry()
    sockets = bind_peer_sockets(settings.host, settings.peer_port)
    entry = _build_entry_state(settings, registry, sockets.port)
    shared = entry.shared
    process = ProcessMetrics(registry)

    def status() -> dict[str, Any]:
        process.refresh(shared.fleet_store.revision, shared.network.control_bytes)
        stray_answers = sum(link.stray_count for link in entry.links.values())
        entry.metrics.stray_answers.set({}, stray_answers)
        return _status_document(entry)

    def answer(request: CallerRequest) -> AsyncGenerator[AnswerEvent, None]:
        return dispatch(request, entry)

    async def handle(connection: Connection) -> None:
        await serve_peer(connection, shared.network)

    async def become_ready() -> None:
        await shared.ready()
        await shared.wait_for_instance_list()
        entry.lifecycle.become_ready()

    shared.network.on_evidence = lambda evidence: apply_evidence(entry, evidence)
    estimates = LogTail(
        shared.log,
        ESTIMATES_STREAM,
        lambda entries: apply_estimates(entry, entries),
        lambda _: None,
        entry.rng,
    )
    app = build_entry_app(
        entry, answer, probe_routes(entry.lifecycle, registry, status)
    )
    async with (
        message_server(sockets.tcp_listener, handle),
        shared.running(sockets.udp_socket),
        background(
            become_ready(),
            monitor_quality(entry, entry.rater.service),
            estimates.run(),
            tick_billing(entry.billing),
            send_billing_confirmations(entry),
        ),
        http_server(
            app, settings.host, settings.http_port, settings.max_header_bytes
        ) as http_port,
    ):
        running = RunningEntry(entry, shared, http_port, sockets.port)
        try:
            yield running
        finally:
            drained = await drain(
                entry.lifecycle,
                settings.drain_notice_s,
                settings.drain_limit_s,
                shared.network.announce_leaving,
                lambda: entry.in_flight,
            )
            flushed = await flush(shared, entry.billing, settings.drain_limit_s)
            running.cut = not (drained and flushed)
            entry.close_links()
    entry.lifecycle.stop()


def _build_entry_state(
    settings: EntrySettings, registry: Registry, peer_port: int
) -> EntryState:
    """Create the components of an entry."""
    rng = Random(settings.seed) if settings.seed else Random()
    client = open_client()
    lifecycle = ProcessLifecycle()
    estimates = QualityEstimates(settings.name)
    router = Router(
        name=settings.name,
        rng=rng,
        subset_size=settings.subset_size,
        estimates=estimates,
        plans=PlanCache(estimates),
    )

    def on_change() -> None:
        membership = shared.membership
        instances = routable_instances(membership.usable(), membership.starting())
        router.update(instances, shared.fleet_store.state)
        shared.membership.set_watched(router.views)

    shared = build_shared_state(
        local_instance=_local_instance(settings, peer_port),
        lifecycle=lifecycle,
        log=HttpLog(settings.log_url, client),
        listing=HttpInstanceList(settings.instance_list_url, client),
        rng=Random(rng.random()),
        on_change=on_change,
    )
    return EntryState(
        settings=settings,
        lifecycle=lifecycle,
        shared=shared,
        router=router,
        metrics=EntryMetrics(registry),
        rng=rng,
        retries=Budget(settings.retry_share),
        hedges=Budget(settings.hedge_share, tokens=0.0),
        quality_monitor=QualityMonitor(settings.name),
        rater=AnswerRater(
            _rating_service(settings, client), settings.rating_share, rng
        ),
        billing=BillingOutbox(settings.name, shared.writer, BillingSettings()),
        pins=SessionPins(tuple(settings.session_secret.split(","))),
        open_link=build_link_factory(shared, router.reported),
    )


def _rating_service(settings: EntrySettings, client: Any) -> HttpRatingService | None:
    """Return the rating service, if one is configured."""
    if not settings.rating_url:
        return None
    return HttpRatingService(settings.rating_url, client)


def _local_instance(settings: EntrySettings, peer_port: int) -> Instance:
    return Instance(
        name=settings.name,
        role=Role.ENTRY,
        region=settings.region,
        availability_zone=settings.availability_zone,
        host=settings.host,
        port=peer_port,
        incarnation=new_incarnation(),
    )


def _status_document(entry: EntryState) -> dict[str, Any]:
    """Return the entry's document for ``/status``."""
    return {
        "name": entry.settings.name,
        "role": Role.ENTRY.value,
        "availability_zone": entry.settings.availability_zone,
        "state": entry.lifecycle.state,
        "in_flight": entry.in_flight,
        "endpoints": len(entry.router.views),
        "links": len(entry.links),
        **describe_shared_state(entry.shared),
    }
