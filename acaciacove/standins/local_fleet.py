"""Runs a deployment's sidecars and entries in one process, against stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from typing import Any

from attrs import frozen

from acaciacove.entry.running_entry import RunningEntry, running_entry
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.running_sidecar import RunningSidecar, running_sidecar
from acaciacove.standins.endpoint_spec import EndpointSpec
from acaciacove.standins.running_platform import RunningPlatform
from acaciacove.standins.serve import LOOPBACK
from acaciacove.state.record import RELEASE_STREAM, Record
from acaciacove.state.record_codec import encode_record

Starter = Callable[[AbstractAsyncContextManager[Any]], Awaitable[Any]]

START_TIMEOUT_S = 20.0
POLL_S = 0.01
SESSION_SECRET = "a-secret-for-the-demo-only-0123456789"


@frozen
class LocalFleet:
    """A running deployment; entries serve callers on ``entries[i].http_port``."""

    platform: RunningPlatform
    sidecars: dict[str, RunningSidecar]
    entries: tuple[RunningEntry, ...]

    def publish(self, record: Record) -> int:
        """Append a record as an operator's command does, and return its offset."""
        log = self.platform.log
        stream = log.stream(RELEASE_STREAM)
        return stream.append(encode_record(record), log.faults.keep_records)

    async def wait_until_applied(self, offset: int) -> None:
        """Wait until every process has applied the record at an offset."""
        holders = [sidecar.state.fleet_store for sidecar in self.sidecars.values()]
        holders += [entry.state.fleet_store for entry in self.entries]
        await _wait_until(lambda: all(h.state.revision >= offset for h in holders))


@asynccontextmanager
async def running_fleet(
    platform: RunningPlatform, entries: int = 2
) -> AsyncIterator[LocalFleet]:
    """Publish the first release note, start the fleet and wait until it is ready."""
    deployment = platform.deployment
    sidecars: dict[str, RunningSidecar] = {}
    running: list[RunningEntry] = []
    async with shut_down_together() as start:
        fleet = LocalFleet(platform, sidecars, tuple(running))
        fleet.publish(deployment.note)
        for spec in deployment.endpoints:
            settings = _sidecar_settings(platform, spec)
            sidecars[spec.name] = await start(running_sidecar(settings))
        platform.list_instances(_instances(platform, sidecars))
        for number in range(entries):
            running.append(
                await start(running_entry(_entry_settings(platform, number)))
            )
        fleet = LocalFleet(platform, sidecars, tuple(running))
        platform.list_instances(_instances(platform, sidecars) + _entries(fleet))
        await _wait_until(lambda: _is_ready(fleet))
        yield fleet


@asynccontextmanager
async def shut_down_together() -> AsyncIterator[Starter]:
    """Yield a function that starts daemons; all are shut down concurrently."""
    stacks: list[AsyncExitStack] = []

    async def start(context: AbstractAsyncContextManager[Any]) -> Any:
        stack = AsyncExitStack()
        stacks.append(stack)
        return await stack.enter_async_context(context)

    try:
        yield start
    finally:
        await asyncio.gather(*(stack.aclose() for stack in stacks))


def _is_ready(fleet: LocalFleet) -> bool:
    states = [sidecar.state.lifecycle for sidecar in fleet.sidecars.values()]
    states += [entry.state.lifecycle for entry in fleet.entries]
    return all(state.accepts_callers for state in states)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


def _sidecar_settings(platform: RunningPlatform, spec: EndpointSpec) -> SidecarSettings:
    return SidecarSettings(
        name=spec.name,
        region=platform.deployment.region,
        availability_zone=spec.availability_zone,
        host=LOOPBACK,
        http_port=0,
        peer_port=0,
        endpoint_url=platform.endpoint_urls[spec.name],
        versions=spec.versions,
        log_url=platform.log_url,
        instance_list_url=platform.instance_list_url,
        weight_store_url=platform.weight_store_url,
        drain_notice_s=0.0,
        drain_limit_s=5.0,
    )


def _entry_settings(platform: RunningPlatform, number: int) -> EntrySettings:
    zones = platform.deployment.availability_zones
    return EntrySettings(
        name=f"entry-{number}",
        region=platform.deployment.region,
        availability_zone=zones[number % len(zones)],
        host=LOOPBACK,
        http_port=0,
        peer_port=0,
        log_url=platform.log_url,
        instance_list_url=platform.instance_list_url,
        rating_url=platform.rating_url,
        session_secret=SESSION_SECRET,
        drain_notice_s=0.0,
        drain_limit_s=5.0,
    )


def _instances(
    platform: RunningPlatform, sidecars: dict[str, RunningSidecar]
) -> tuple[Instance, ...]:
    """Return the endpoints as the platform's instance list has them."""
    return tuple(
        Instance(
            name=spec.name,
            role=Role.ENDPOINT,
            region=platform.deployment.region,
            availability_zone=spec.availability_zone,
            host=LOOPBACK,
            port=sidecars[spec.name].peer_port,
            versions=spec.versions,
            http_port=sidecars[spec.name].http_port,
        )
        for spec in platform.deployment.endpoints
    )


def _entries(fleet: LocalFleet) -> tuple[Instance, ...]:
    return tuple(
        Instance(
            name=entry.state.settings.name,
            role=Role.ENTRY,
            region=entry.state.settings.region,
            availability_zone=entry.state.settings.availability_zone,
            host=LOOPBACK,
            port=entry.peer_port,
            http_port=entry.http_port,
        )
        for entry in fleet.entries
    )
