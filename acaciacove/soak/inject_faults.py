"""Injects the faults of a plan into a running soak."""

import asyncio
import signal
from collections.abc import Callable, Sequence

from acaciacove.soak.bounds import LIMIT_PER_S, LONG_EVENT_BYTES, REST_S
from acaciacove.soak.fault_kind import (
    DELAYING,
    DEPARTURES,
    GATEWAY_FAULTS,
    INSTANTANEOUS,
    LOG_FAULTS,
    LOG_LINK_FAULTS,
    RESETTING,
    SILENCING,
    FaultKind,
)
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.proxy import Proxy
from acaciacove.soak.soak_environment import ZONES, SoakEnvironment
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from acaciacove.standins.gateway_fleet import ENDPOINTS

DELAY_S = 0.3
RESTART_S = 0.3
LOST_ANSWERS = 5
EVENTS_BEFORE_CUT = 2
# How long an endpoint goes on serving after its departure.
DEPARTING_SERVES_S = 3.0
DEPARTURE_RETRY_S = 0.1
# How long an endpoint says that it leaves before the log does: beyond the drain time.
ANNOUNCED_BEFORE_LOG_S = 4.0
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
        await _inject_link_fault(
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
        await _inject_endpoint_fault(environment, fault)


async def _record_until_undone(
    environment: SoakEnvironment,
    fault: PlannedFault,
    subject: int | str,
    undo: Callable[[], None],
) -> None:
    """Record a fault, wait for its duration, then undo it."""
    loop = asyncio.get_running_loop()
    injected = InjectedFault(fault.kind, subject, loop.time())
    environment.faults.append(injected)
    if fault.kind not in INSTANTANEOUS:
        await asyncio.sleep(fault.duration_s)
    undo()
    injected.until_s = loop.time()


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


async def _inject_link_fault(
    environment: SoakEnvironment, fault: PlannedFault, link: Proxy, subject: int | str
) -> None:
    state = link.state
    if fault.kind in RESETTING:
        link.reset()
    elif fault.kind in DELAYING:
        state.delay_s = DELAY_S
    elif fault.kind in SILENCING:
        state.up_silent = True
    else:
        state.down_silent = True

    def undo() -> None:
        state.delay_s = 0.0
        if state.up_silent or state.down_silent:
            # The discarded bytes are missing: no connection may be used further.
            state.up_silent = state.down_silent = False
            link.reset()

    await _record_until_undone(environment, fault, subject, undo)


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
    await _record_until_undone(
        environment, fault, number, lambda: store.rejected_callers.discard(name)
    )


async def _inject_log_fault(environment: SoakEnvironment, fault: PlannedFault) -> None:
    store = environment.fleet.store
    if fault.kind is FaultKind.LOG_FORGETS:
        for stream in list(store.records):
            store.truncate_history(stream)
    elif fault.kind is FaultKind.LOG_LOSES_REPLIES:
        store.lost_replies += 1
    else:
        store.down = "silent" if fault.kind is FaultKind.LOG_AWAY else "busy"

    def undo() -> None:
        if fault.kind not in INSTANTANEOUS:
            store.down = None

    await _record_until_undone(environment, fault, "log", undo)


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

    await _record_until_undone(environment, fault, zone, undo)


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
    await _record_until_undone(
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
    await _record_until_undone(environment, fault, "callers", lambda: slow_down(False))


async def _concentrate_connections(
    environment: SoakEnvironment, fault: PlannedFault
) -> None:
    """Have callers open new connections at one gateway only."""
    environment.are_connections_concentrated = True

    def undo() -> None:
        environment.are_connections_concentrated = False

    await _record_until_undone(environment, fault, "callers", undo)


async def _inject_endpoint_fault(
    environment: SoakEnvironment, fault: PlannedFault
) -> None:
    names = sorted(environment.servers)
    instance = names[fault.target % len(names)]
    if fault.kind is FaultKind.ENDPOINT_CRASHES:
        await _crash(environment, fault, instance)
    elif fault.kind in DEPARTURES:
        await _depart(environment, fault, instance)
    elif fault.kind is FaultKind.ENDPOINT_ANNOUNCES:
        await _announce_and_depart(environment, fault, instance)
    elif fault.kind is FaultKind.ENDPOINT_CLOSE_DELIMITED:
        await _answer_close_delimited(environment, fault, instance)
    elif fault.kind in MISBEHAVIOURS:
        behaviour = environment.servers[instance].behaviour
        if behaviour.limit_per_s is not None and fault.kind in UNDO_FUNCTIONS:
            return
        MISBEHAVIOURS[fault.kind](behaviour)
        restore = UNDO_FUNCTIONS.get(fault.kind, _restore)
        await _record_until_undone(
            environment, fault, instance, lambda: restore(behaviour)
        )
    else:
        await _inject_link_fault(
            environment, fault, environment.endpoint_links[instance], instance
        )


async def _answer_close_delimited(
    environment: SoakEnvironment, fault: PlannedFault, instance: str
) -> None:
    """Have an endpoint answer close-delimited: whole, cut, and cut off by its crash."""
    behaviour = environment.servers[instance].behaviour
    if behaviour.close_delimited:
        return
    behaviour.close_delimited = True
    injected = InjectedFault(fault.kind, instance, asyncio.get_running_loop().time())
    environment.faults.append(injected)
    phase_s = fault.duration_s / 3.0
    await asyncio.sleep(phase_s)
    behaviour.cut_after = EVENTS_BEFORE_CUT
    await asyncio.sleep(phase_s)
    behaviour.cut_after = None
    behaviour.crash_after = EVENTS_BEFORE_CUT
    await asyncio.sleep(phase_s)
    behaviour.crash_after = None
    behaviour.close_delimited = False
    injected.until_s = asyncio.get_running_loop().time()


def _fail(behaviour: EndpointBehaviour) -> None:
    behaviour.failing = True


def _fill(behaviour: EndpointBehaviour) -> None:
    behaviour.full = True


def _rest(behaviour: EndpointBehaviour) -> None:
    behaviour.full = True
    behaviour.retry_after = f"{REST_S}"


def _limit(behaviour: EndpointBehaviour) -> None:
    behaviour.limit_per_s = LIMIT_PER_S


def _cut(behaviour: EndpointBehaviour) -> None:
    behaviour.cut_after = EVENTS_BEFORE_CUT


def _cut_in_order(behaviour: EndpointBehaviour) -> None:
    behaviour.cut_after = EVENTS_BEFORE_CUT
    behaviour.ends_inside_event = True


def _lose_answers(behaviour: EndpointBehaviour) -> None:
    behaviour.lost_answers += LOST_ANSWERS


MISBEHAVIOURS: dict[FaultKind, Callable[[EndpointBehaviour], None]] = {
    FaultKind.ENDPOINT_FAILS: _fail,
    FaultKind.ENDPOINT_FULL: _fill,
    FaultKind.ENDPOINT_RESTS: _rest,
    FaultKind.ENDPOINT_LIMITS: _limit,
    FaultKind.ENDPOINT_CUTS: _cut,
    FaultKind.ENDPOINT_ENDS_INSIDE_EVENT: _cut_in_order,
    FaultKind.ENDPOINT_LOSES_ANSWERS: _lose_answers,
}


def _restore(behaviour: EndpointBehaviour) -> None:
    """Undo lasting misbehaviour. The count of answers to lose runs down by itself."""
    behaviour.failing = behaviour.full = behaviour.ends_inside_event = False
    behaviour.cut_after = behaviour.retry_after = None


def _remove_limit(behaviour: EndpointBehaviour) -> None:
    behaviour.limit_per_s = None


UNDO_FUNCTIONS: dict[FaultKind, Callable[[EndpointBehaviour], None]] = {
    FaultKind.ENDPOINT_LIMITS: _remove_limit,
}


async def _crash(
    environment: SoakEnvironment, fault: PlannedFault, instance: str
) -> None:
    """Start a replacement with another name, then crash the endpoint unannounced."""
    service = environment.servers[instance].report.service
    loop = asyncio.get_running_loop()
    environment.faults.append(
        InjectedFault(fault.kind, instance, loop.time(), loop.time())
    )
    await environment.add_endpoint(service)
    environment.remove_endpoint(instance)


async def _announce_and_depart(
    environment: SoakEnvironment, fault: PlannedFault, instance: str
) -> None:
    """Have an endpoint announce its departure in responses, and later in the log."""
    server = environment.servers[instance]
    if server.report.draining or server.behaviour.leaving is not None:
        return
    server.behaviour.leaving = "1"
    loop = asyncio.get_running_loop()
    injected = InjectedFault(fault.kind, instance, loop.time())
    environment.faults.append(injected)
    await environment.add_endpoint(server.report.service)
    await asyncio.sleep(ANNOUNCED_BEFORE_LOG_S)
    if instance in environment.servers:
        environment.depart(instance, is_announced=True)
        await asyncio.sleep(DEPARTING_SERVES_S)
        environment.remove_endpoint(instance)
    injected.until_s = loop.time()


async def _depart(
    environment: SoakEnvironment, fault: PlannedFault, instance: str
) -> None:
    """Drain or deregister an endpoint, after its replacement has been started."""
    if environment.servers[instance].report.draining:
        return
    await environment.add_endpoint(environment.servers[instance].report.service)
    # While the log is unavailable the departure cannot be written, so it is retried.
    while not environment.depart(
        instance, is_announced=fault.kind is FaultKind.ENDPOINT_LEAVES
    ):
        await asyncio.sleep(DEPARTURE_RETRY_S)
    loop = asyncio.get_running_loop()
    injected = InjectedFault(fault.kind, instance, loop.time())
    environment.faults.append(injected)
    await asyncio.sleep(DEPARTING_SERVES_S)
    injected.until_s = loop.time()
    environment.remove_endpoint(instance)
