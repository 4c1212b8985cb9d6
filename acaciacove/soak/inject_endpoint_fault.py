"""Injects faults of single endpoints."""

import asyncio
from collections.abc import Callable

from acaciacove.soak.bounds import LIMIT_PER_S, REST_S
from acaciacove.soak.fault_kind import DEPARTURES, FaultKind
from acaciacove.soak.inject_link_fault import inject_link_fault
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.record_until_undone import record_until_undone
from acaciacove.soak.soak_environment import SoakEnvironment
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour

LOST_ANSWERS = 5
EVENTS_BEFORE_CUT = 2
# How long an endpoint goes on serving after its departure.
DEPARTING_SERVES_S = 3.0
DEPARTURE_RETRY_S = 0.1
# How long an endpoint says that it leaves before the log does: beyond the drain time.
ANNOUNCED_BEFORE_LOG_S = 4.0


async def inject_endpoint_fault(
    environment: SoakEnvironment, fault: PlannedFault
) -> None:
    """Inject a fault at the endpoint that the fault's target selects."""
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
        await record_until_undone(
            environment, fault, instance, lambda: restore(behaviour)
        )
    else:
        await inject_link_fault(
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
