"""Injects the faults of a plan into a running soak."""

import asyncio
import signal
from collections.abc import Sequence

from acaciacove.soak.bounds import LONG_EVENT_BYTES
from acaciacove.soak.fault_kind import (
    GATEWAY_FAULTS,
    INSTANTANEOUS,
    LOG_FAULTS,
    LOG_LINK_FAULTS,
    FaultKind,
)
from acaciacove.soak.inject_endpoint_fault import inject_endpoint_fault
from acaciacove.soak.inject_link_fault import inject_link_fault
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.record_until_undone import record_until_undone
from acaciacove.soak.soak_environment import ZONES, SoakEnvironment
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from acaciacove.standins.gateway_fleet import ENDPOINTS

RESTART_S = 0.3
# With so many routes a version of the catalogue takes some 200 kB.
ADDED_ROUTES = 450
VERSION_INTERVAL_S = 0.08
MIN_KEYS = 3
# A head that takes longer than the latency target makes admission levels rise.
QUEUE_WORK_S = 0.7
# So many requests of others run, and so many wait.
QUEUED_REQUESTS = 64
# An endpoint cuts off a long answer that is not read for this long.
UNREAD_TIMEOUT_S = 2.0


async def inject_faults(
    environment: SoakEnvironment, plan: Sequence[PlannedFault]
) -> None:
    """Inject all faults, each in its own task; return once the last is undone."""
    began_s = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as tasks:
        for fault in plan:
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, began_s + fault.at_s - now_s))
            tasks.create_task(_inject(environment, fault))


async def _inject(environment: SoakEnvironment, fault: PlannedFault) -> None:
    if fault.kind in GATEWAY_FAULTS:
        await _inject_gateway_fault(environment, fault)
    elif fault.kind in LOG_LINK_FAULTS:
        number = fault.target % len(environment.gateways)
        await inject_link_fault(
            environment, fault, environment.log_links[number], number
        )
    elif fault.kind is FaultKind.LOG_TURNS_AWAY:
        await _refuse_last_reader(environment, fault)
    elif fault.kind in LOG_FAULTS:
        await _inject_log_fault(environment, fault)
    elif fault.kind is FaultKind.KEY_REVOKED:
        _revoke_key(environment)
    elif fault.kind is FaultKind.CATALOGUE_GROWS:
        await _grow_catalogue(environment, fault)
    elif fault.kind is FaultKind.REQUEST_CRASHES:
        _add_crashing_request(environment, fault)
    elif fault.kind is FaultKind.PROMPT_PART_CRASHES:
        _add_crashing_part(environment, fault)
    elif fault.kind is FaultKind.ENDPOINTS_QUEUE:
        await _queue_work(environment, fault)
    elif fault.kind is FaultKind.CALLERS_SLOW:
        await _slow_callers(environment, fault)
    elif fault.kind is FaultKind.CONNECTIONS_CONCENTRATED:
        await _concentrate_connections(environment, fault)
    elif fault.kind is FaultKind.ZONE_OUT:
        await _take_zone_out(environment, fault)
    else:
        await inject_endpoint_fault(environment, fault)


async def _inject_gateway_fault(
    environment: SoakEnvironment, fault: PlannedFault
) -> None:
    number = fault.target % len(environment.gateways)
    gateway = environment.gateways[number]
    if not gateway.is_running or gateway.is_stop_expected:
        return
    loop = asyncio.get_running_loop()
    injected = InjectedFault(fault.kind, number, loop.time())
    environment.faults.append(injected)
    if fault.kind is FaultKind.PAUSE:
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        gateway.send(signal.SIGCONT)
    else:
        await _end_and_restart(environment, fault, number)
    injected.until_s = loop.time()


async def _end_and_restart(
    environment: SoakEnvironment, fault: PlannedFault, number: int
) -> None:
    gateway = environment.gateways[number]
    if fault.kind is FaultKind.TERMINATE:
        await gateway.terminate(gateway.settings.grace_s)
    else:
        await gateway.kill()
    environment.ready.discard(number)
    await asyncio.sleep(RESTART_S)
    await gateway.start()


async def _refuse_last_reader(
    environment: SoakEnvironment, fault: PlannedFault
) -> None:
    """Have the log refuse the gateway that last read the endpoints' stream."""
    store = environment.fleet.store
    name = store.last_readers.get(ENDPOINTS)
    names = [gateway.settings.name for gateway in environment.gateways]
    if name not in names or name in store.rejected_callers:
        return
    store.rejected_callers.add(name)
    number = names.index(name)
    await record_until_undone(
        environment, fault, number, lambda: store.rejected_callers.discard(name)
    )


async def _inject_log_fault(environment: SoakEnvironment, fault: PlannedFault) -> None:
    store = environment.fleet.store
    if fault.kind is FaultKind.LOG_FORGETS:
        for stream in list(store.records):
            store.truncate_history(stream)
    elif fault.kind is FaultKind.LOG_LOSES_REPLIES:
        store.lost_replies += 1
    elif fault.kind is FaultKind.LOG_RESTORED:
        store.down = "reset"
    else:
        store.down = "silent" if fault.kind is FaultKind.LOG_AWAY else "busy"

    def undo() -> None:
        if fault.kind is FaultKind.LOG_RESTORED:
            copies = environment.log_copies
            environment.fleet.return_log(copies[fault.target % len(copies)])
        if fault.kind not in INSTANTANEOUS:
            store.down = None

    await record_until_undone(environment, fault, "log", undo)


def _revoke_key(environment: SoakEnvironment) -> None:
    if len(environment.keys) <= MIN_KEYS:
        return
    key = environment.keys.pop()
    environment.publish()
    now_s = asyncio.get_running_loop().time()
    environment.revoked_s[key] = now_s
    environment.faults.append(InjectedFault(FaultKind.KEY_REVOKED, key, now_s, now_s))


async def _grow_catalogue(environment: SoakEnvironment, fault: PlannedFault) -> None:
    """Publish large versions until the fault ends, and a small one then."""
    loop = asyncio.get_running_loop()
    injected = InjectedFault(fault.kind, "catalogue", loop.time())
    environment.faults.append(injected)
    while loop.time() < injected.from_s + fault.duration_s:
        environment.publish(ADDED_ROUTES)
        await asyncio.sleep(VERSION_INTERVAL_S)
    environment.publish()
    injected.until_s = loop.time()


def _add_crashing_request(environment: SoakEnvironment, fault: PlannedFault) -> None:
    """Have callers send a request that crashes each endpoint that starts to run it."""
    body = f"crash-{fault.number}".encode()
    environment.crashing[body] = environment.keys[fault.target % len(environment.keys)]
    now_s = asyncio.get_running_loop().time()
    environment.faults.append(InjectedFault(fault.kind, body.decode(), now_s, now_s))


def _add_crashing_part(environment: SoakEnvironment, fault: PlannedFault) -> None:
    """Have callers send requests with a part that crashes each endpoint."""
    part = f"bad{fault.number}"
    environment.crashing_parts[part] = None
    now_s = asyncio.get_running_loop().time()
    environment.faults.append(InjectedFault(fault.kind, part, now_s, now_s))


async def _take_zone_out(environment: SoakEnvironment, fault: PlannedFault) -> None:
    zone = ZONES[fault.target % len(ZONES)]
    if environment.zones_out:
        return
    environment.zones_out.add(zone)
    environment.fleet.take_zone_out(zone)

    def undo() -> None:
        environment.fleet.take_zone_in(zone)
        environment.zones_out.discard(zone)

    await record_until_undone(environment, fault, zone, undo)


async def _queue_work(environment: SoakEnvironment, fault: PlannedFault) -> None:
    """Give every endpoint of one service a queue, which it also reports."""
    names = sorted(environment.servers)
    service = environment.servers[names[fault.target % len(names)]].report.service
    servers = [s for s in environment.servers.values() if s.report.service == service]

    def queue(requests: int, work_s: float) -> None:
        for server in servers:
            server.behaviour.other_running = server.behaviour.waiting = requests
            server.behaviour.work_s = work_s

    queue(QUEUED_REQUESTS, QUEUE_WORK_S)
    usual_work_s = EndpointBehaviour().work_s
    await record_until_undone(
        environment, fault, service, lambda: queue(0, usual_work_s)
    )


async def _slow_callers(environment: SoakEnvironment, fault: PlannedFault) -> None:
    """Have some callers read slowly, and endpoints send long answers."""

    def slow_down(is_slow: bool) -> None:
        environment.are_callers_slow = is_slow
        for server in environment.servers.values():
            server.behaviour.event_bytes = LONG_EVENT_BYTES if is_slow else 0
            server.behaviour.unread_timeout_s = UNREAD_TIMEOUT_S if is_slow else None

    slow_down(True)
    await record_until_undone(environment, fault, "callers", lambda: slow_down(False))


async def _concentrate_connections(
    environment: SoakEnvironment, fault: PlannedFault
) -> None:
    """Have callers open new connections at one gateway only."""
    environment.are_connections_concentrated = True

    def undo() -> None:
        environment.are_connections_concentrated = False

    await record_until_undone(environment, fault, "callers", undo)
