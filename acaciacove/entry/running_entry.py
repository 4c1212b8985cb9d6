"""One entry: its parts, its tasks, and how it leaves."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from aioprometheus import Registry
from attrs import frozen

from acaciacove.daemon.background import background
from acaciacove.daemon.drain import drain
from acaciacove.daemon.follow_instances import follow_instances
from acaciacove.daemon.follow_release import follow_release
from acaciacove.daemon.http_server import http_server
from acaciacove.daemon.probes import probe_routes
from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.daemon.process_metrics import ProcessMetrics
from acaciacove.decisions.budget import Budget
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.entry.answer_event import AnswerEvent
from acaciacove.entry.app import build_entry_app
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.dispatch import dispatch
from acaciacove.entry.entry_metrics import EntryMetrics
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.router import Router
from acaciacove.entry.sidecar_link import SidecarLink
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.messages.hello import Hello
from acaciacove.platform.http_client import open_client
from acaciacove.platform.http_instance_list import HttpInstanceList
from acaciacove.platform.http_log import HttpLog
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.state.fleet_holder import FleetHolder


@frozen
class RunningEntry:
    """An entry that serves; ``http_port`` is the bound one."""

    state: EntryState
    http_port: int


@asynccontextmanager
async def running_entry(settings: EntrySettings) -> AsyncIterator[RunningEntry]:
    """Serve callers while the block runs, and drain when it ends."""
    registry = Registry()
    entry = _build(settings, registry)
    process = ProcessMetrics(registry)
    instances: list[Instance] = []

    def on_list(listed: list[Instance]) -> None:
        instances[:] = listed
        on_change()

    def on_change() -> None:
        entry.router.update(instances, entry.holder.state)
        if entry.holder.state.release_revision >= 0 and instances:
            entry.lifecycle.become_ready()

    def status() -> dict[str, Any]:
        process.refresh(entry.holder.state.revision, 0)
        return _status(entry)

    def answer(request: CallerRequest) -> AsyncGenerator[AnswerEvent, None]:
        return dispatch(request, entry)

    probes = probe_routes(entry.lifecycle, registry, status)
    app = build_entry_app(entry, answer, probes)
    client = open_client()
    log = HttpLog(settings.log_url, client)
    listing = HttpInstanceList(settings.instance_list_url, client)
    async with (
        background(
            follow_release(log, entry.holder, on_change),
            follow_instances(listing, on_list),
        ),
        http_server(
            app, settings.host, settings.http_port, settings.max_header_bytes
        ) as port,
    ):
        try:
            yield RunningEntry(entry, port)
        finally:
            await drain(
                entry.lifecycle,
                settings.drain_notice_s,
                settings.drain_limit_s,
                lambda: entry.in_flight,
            )
            for link in entry.links.values():
                link.close()
    entry.lifecycle.stop()


def _build(settings: EntrySettings, registry: Registry) -> EntryState:
    """Put the parts of an entry together."""
    rng = Random(settings.seed) if settings.seed else Random()
    holder = FleetHolder()
    estimates = QualityEstimates(settings.name)

    def hello() -> Hello:
        return Hello(
            instance=settings.name,
            incarnation=0,
            role=Role.ENTRY,
            availability_zone=settings.availability_zone,
            revision=holder.state.revision,
        )

    def open_link(endpoint: Instance) -> SidecarLink:
        return SidecarLink(endpoint.host, endpoint.port, hello, lambda *_: None)

    return EntryState(
        settings=settings,
        lifecycle=ProcessLifecycle(),
        holder=holder,
        router=Router(
            name=settings.name,
            rng=rng,
            subset_size=settings.subset_size,
            estimates=estimates,
            plans=PlanCache(estimates),
            guard=RolloutGuard(settings.name),
        ),
        metrics=EntryMetrics(registry),
        rng=rng,
        retries=Budget(settings.retry_share),
        membership_evidence=lambda *_: None,
        open_link=open_link,
    )


def _status(entry: EntryState) -> dict[str, Any]:
    """Describe the entry for ``/status``."""
    return {
        "name": entry.settings.name,
        "role": Role.ENTRY.value,
        "availability_zone": entry.settings.availability_zone,
        "state": entry.lifecycle.state,
        "revision": entry.holder.state.revision,
        "release_revision": entry.holder.state.release_revision,
        "in_flight": entry.in_flight,
        "endpoints": len(entry.router.views),
        "links": len(entry.links),
        "time_s": asyncio.get_running_loop().time(),
    }
