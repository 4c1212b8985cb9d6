"""Builds a sidecar, runs its tasks and drains it on shutdown."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from time import time
from typing import Any

from aioprometheus import Registry
from attrs import define
from starlette.applications import Starlette

from acaciacove.adapters.http_client import open_client
from acaciacove.adapters.http_engine import HttpEngine
from acaciacove.adapters.http_instance_list import HttpInstanceList
from acaciacove.adapters.http_log import HttpLog
from acaciacove.adapters.http_service import HttpService
from acaciacove.adapters.http_weight_store import HttpWeightStore
from acaciacove.daemon.background import background
from acaciacove.daemon.billing import flush, tick_billing
from acaciacove.daemon.drain import drain
from acaciacove.daemon.http_server import http_server
from acaciacove.daemon.message_server import message_server
from acaciacove.daemon.peer_sockets import bind_peer_sockets
from acaciacove.daemon.probes import probe_routes
from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.daemon.process_metrics import ProcessMetrics
from acaciacove.daemon.shared_state import (
    SharedState,
    build_shared_state,
    describe_shared_state,
    new_incarnation,
)
from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.messages.message import Message
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.admission_controller import (
    AdmissionController,
    run_limit_updates,
)
from acaciacove.sidecar.claimed_call import preferred_claim_partitions
from acaciacove.sidecar.entry_session import EntrySession, Send
from acaciacove.sidecar.evidence_reporter import EvidenceReporter
from acaciacove.sidecar.poll_engine_load import poll_engine_load
from acaciacove.sidecar.query_claim_owner import query_claim_owner
from acaciacove.sidecar.sidecar_metrics import SidecarMetrics
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.sidecar.version_reconciler import VersionReconciler
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.billing_settings import BillingSettings
from acaciacove.state.claim_owner import ClaimOwner
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.fence_gate import FenceGate
from acaciacove.wire.connection import Connection

# Assumed until the first answers show the engine's speed. Too low a value makes early
# requests wait; too high a value refuses requests that could be served in time.
INITIAL_TOKEN_S = 0.005
# Uptime after which a process missing from the instance list has ended. The list lags
# by up to a minute.
LIST_COMPLETE_AFTER_S = 120.0


@define(eq=False)
class RunningSidecar:
    """A running sidecar with its bound ports.

    ``cut`` is set on shutdown: true if work was left when the drain limit passed.
    """

    state: SidecarState
    shared: SharedState
    peer_port: int
    http_port: int
    cut: bool = False


@asynccontextmanager
async def running_sidecar(settings: SidecarSettings) -> AsyncIterator[RunningSidecar]:
    """Serve entries while the block runs, and drain when it ends."""
    registry = Registry()
    sockets = bind_peer_sockets(settings.host, settings.peer_port)
    sidecar = _build_sidecar_state(settings, registry, sockets.port)
    shared = sidecar.shared
    process = ProcessMetrics(registry)

    def status() -> dict[str, Any]:
        process.refresh(shared.fleet_store.revision, shared.network.control_bytes)
        sidecar.metrics.refresh(sidecar.admission.load())
        return _status_document(sidecar)

    async def on_control_message(sender: str, message: Message, send: Send) -> None:
        if isinstance(message, ClaimQuery):
            await send(sidecar.claims.on_query(message))
            return
        for reply in shared.network.answer(sender, message):
            await send(reply)

    async def handle(connection: Connection) -> None:
        await EntrySession(connection, sidecar, shared.hello, on_control_message).run()

    async def become_ready() -> None:
        await shared.ready()
        sidecar.lifecycle.become_ready()

    shared.network.on_evidence = sidecar.evidence.apply_answer
    reconciler = _build_version_reconciler(settings, sidecar)
    probes = probe_routes(sidecar.lifecycle, registry, status)
    async with (
        message_server(sockets.tcp_listener, handle),
        shared.running(sockets.udp_socket),
        background(
            become_ready(),
            sidecar.evidence.run(shared, lambda: sidecar.served),
            sidecar.claims.run(lambda: preferred_claim_partitions(shared)),
            tick_billing(sidecar.billing, sidecar.is_entry_gone),
            reconciler.run(),
            poll_engine_load(sidecar),
            run_limit_updates(sidecar.admission),
        ),
        http_server(
            Starlette(routes=probes), settings.host, settings.http_port
        ) as http_port,
    ):
        running = RunningSidecar(sidecar, shared, sockets.port, http_port)
        try:
            yield running
        finally:
            drained = await drain(
                sidecar.lifecycle,
                settings.drain_notice_s,
                settings.drain_limit_s,
                shared.network.announce_leaving,
                lambda: sidecar.in_flight,
            )
            flushed = await flush(shared, sidecar.billing, settings.drain_limit_s)
            deadline_s = _now_s() + settings.drain_limit_s
            finished = await sidecar.claims.finish(deadline_s)
            running.cut = not (drained and flushed and finished)
    sidecar.lifecycle.stop()


def _build_sidecar_state(
    settings: SidecarSettings, registry: Registry, peer_port: int
) -> SidecarState:
    """Build the state of a sidecar from its settings."""
    rng = Random(settings.seed) if settings.seed else Random()
    client = open_client()
    lifecycle = ProcessLifecycle()
    queue = AdmissionQueue(
        AdmissionSettings(settings.max_queue, token_s=INITIAL_TOKEN_S)
    )
    admission = AdmissionController(queue)

    def on_change() -> None:
        admission.update(shared.fleet_store.state, state.served)

    shared = build_shared_state(
        local_instance=_local_instance(settings, peer_port),
        lifecycle=lifecycle,
        log=HttpLog(settings.log_url, client),
        listing=HttpInstanceList(settings.instance_list_url, client),
        rng=rng,
        on_change=on_change,
    )
    state = SidecarState(
        settings=settings,
        lifecycle=lifecycle,
        shared=shared,
        admission=admission,
        engine=HttpEngine(settings.endpoint_url, client),
        service=HttpService(settings.endpoint_url, client, open_client(reuse=False)),
        metrics=SidecarMetrics(registry),
        evidence=EvidenceReporter(RolloutGuard(settings.name)),
        claims=_build_claim_owner(settings, shared, rng),
        billing=BillingOutbox(settings.name, shared.writer, BillingSettings()),
        served=frozenset(settings.versions),
    )
    return state


def _build_version_reconciler(
    settings: SidecarSettings, sidecar: SidecarState
) -> VersionReconciler:
    """Build the reconciler, with the weight store if one is set."""
    store = None
    if settings.weight_store_url:
        store = HttpWeightStore(settings.weight_store_url, open_client())
    fleet_store = sidecar.fleet_store
    gate = FenceGate(lambda: fleet_store.state.release_revision)
    return VersionReconciler(sidecar, gate, store, Random(settings.seed or None))


def _build_claim_owner(
    settings: SidecarSettings, shared: SharedState, rng: Random
) -> ClaimOwner:
    async def query_owner(name: str, query: ClaimQuery) -> ClaimAnswer | None:
        return await query_claim_owner(shared, name, query)

    return ClaimOwner(
        name=settings.name,
        incarnation=shared.local_instance.incarnation,
        log=shared.log,
        writer=shared.writer,
        settings=ClaimSettings(
            window_s=settings.claim_window_s, claim_wait_s=settings.claim_wait_s
        ),
        random=rng,
        wall_s=time,
        query_owner=query_owner,
        is_gone=_build_is_gone(shared),
    )


def _build_is_gone(shared: SharedState) -> Callable[[str, int], bool]:
    """Return a predicate for whether the process that made a claim has ended.

    The platform's list lags by up to a minute, so the view of a process that has just
    started is incomplete. If unknown processes counted as ended, a caller would get
    "outcome unknown" while its call is still running.
    """
    started_s = _now_s()

    def is_gone(name: str, incarnation: int) -> bool:
        if shared.membership.find(name) is None:
            return _now_s() - started_s > LIST_COMPLETE_AFTER_S
        return shared.membership.is_gone(name, incarnation)

    return is_gone


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _local_instance(settings: SidecarSettings, peer_port: int) -> Instance:
    return Instance(
        name=settings.name,
        role=Role.ENDPOINT,
        region=settings.region,
        availability_zone=settings.availability_zone,
        host=settings.host,
        port=peer_port,
        incarnation=new_incarnation(),
        versions=settings.versions,
    )


def _status_document(sidecar: SidecarState) -> dict[str, Any]:
    """Return the document that ``/status`` serves."""
    load = sidecar.admission.load()
    return {
        "name": sidecar.settings.name,
        "role": Role.ENDPOINT.value,
        "availability_zone": sidecar.settings.availability_zone,
        "state": sidecar.lifecycle.state,
        "in_flight": load.in_flight,
        "queued": load.queued,
        "limit": load.limit,
        "cold": load.cold,
        "versions": [str(version) for version in sorted(sidecar.served)],
        **describe_shared_state(sidecar.shared),
    }
