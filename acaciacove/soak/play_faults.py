"""Plays the faults of a plan on a running soak."""

import asyncio
import signal
from collections.abc import Callable, Sequence

from acaciacove.soak.bounds import LIMIT_PER_S
from acaciacove.soak.fault_kind import (
    AT_ONCE,
    DELAYING,
    LEAVES,
    ON_GATEWAY,
    ON_GATEWAY_LOG,
    ON_LOG,
    RESETTING,
    SILENCING,
    FaultKind,
)
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.played_fault import PlayedFault
from acaciacove.soak.proxy import Proxy
from acaciacove.soak.soak_world import ZONES, SoakWorld
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from acaciacove.standins.gateway_fleet import ENDPOINTS

DELAY_S = 0.3
RESTART_S = 0.3
LOST_ANSWERS = 5
EVENTS_BEFORE_CUT = 2
# How long an endpoint that has said that it leaves goes on serving.
LEAVING_SERVES_S = 3.0
LEAVE_RETRY_S = 0.1
FEWEST_KEYS = 3


async def play_faults(world: SoakWorld, plan: Sequence[PlannedFault]) -> None:
    """Play all faults, each in a task of its own, until the last is undone."""
    began_s = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as tasks:
        for fault in plan:
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, began_s + fault.at_s - now_s))
            tasks.create_task(_play(world, fault))


async def _play(world: SoakWorld, fault: PlannedFault) -> None:
    if fault.kind in ON_GATEWAY:
        await _on_gateway(world, fault)
    elif fault.kind in ON_GATEWAY_LOG:
        number = fault.target % len(world.gateways)
        await _on_link(world, fault, world.log_links[number], number)
    elif fault.kind is FaultKind.LOG_TURNS_AWAY:
        await _turn_away(world, fault)
    elif fault.kind in ON_LOG:
        await _on_log(world, fault)
    elif fault.kind is FaultKind.KEY_REVOKED:
        _revoke_key(world)
    elif fault.kind is FaultKind.REQUEST_CRASHES:
        _let_crash(world, fault)
    elif fault.kind is FaultKind.ZONE_OUT:
        await _zone_out(world, fault)
    else:
        await _on_endpoint(world, fault)


async def _lasting(
    world: SoakWorld, fault: PlannedFault, subject: int | str, undo: Callable[[], None]
) -> None:
    """Keep a fault in the record while it lasts, then undo it."""
    loop = asyncio.get_running_loop()
    played = PlayedFault(fault.kind, subject, loop.time())
    world.faults.append(played)
    if fault.kind not in AT_ONCE:
        await asyncio.sleep(fault.for_s)
    undo()
    played.until_s = loop.time()


async def _on_gateway(world: SoakWorld, fault: PlannedFault) -> None:
    number = fault.target % len(world.gateways)
    gateway = world.gateways[number]
    if not gateway.is_running or gateway.asked_to_end:
        return
    loop = asyncio.get_running_loop()
    played = PlayedFault(fault.kind, number, loop.time())
    world.faults.append(played)
    if fault.kind is FaultKind.PAUSE:
        gateway.send(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        gateway.send(signal.SIGCONT)
    else:
        await _end_and_restart(world, fault, number)
    played.until_s = loop.time()


async def _end_and_restart(world: SoakWorld, fault: PlannedFault, number: int) -> None:
    gateway = world.gateways[number]
    if fault.kind is FaultKind.TERMINATE:
        await gateway.terminate(gateway.settings.grace_s)
    else:
        await gateway.kill()
    world.ready.discard(number)
    await asyncio.sleep(RESTART_S)
    await gateway.start()


async def _on_link(
    world: SoakWorld, fault: PlannedFault, link: Proxy, subject: int | str
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
            # Bytes are missing from what goes on: no connection may survive that.
            state.up_silent = state.down_silent = False
            link.reset()

    await _lasting(world, fault, subject, undo)


async def _turn_away(world: SoakWorld, fault: PlannedFault) -> None:
    """Turn away the gateway that last read the endpoints' stream."""
    store = world.fleet.store
    name = store.last_readers.get(ENDPOINTS)
    names = [gateway.settings.name for gateway in world.gateways]
    if name not in names or name in store.rejected_callers:
        return
    store.rejected_callers.add(name)
    number = names.index(name)
    await _lasting(world, fault, number, lambda: store.rejected_callers.discard(name))


async def _on_log(world: SoakWorld, fault: PlannedFault) -> None:
    store = world.fleet.store
    if fault.kind is FaultKind.LOG_FORGETS:
        for stream in list(store.records):
            store.truncate_history(stream)
    elif fault.kind is FaultKind.LOG_LOSES_REPLIES:
        store.lost_replies += 1
    else:
        store.down = "silent" if fault.kind is FaultKind.LOG_AWAY else "busy"

    def undo() -> None:
        if fault.kind not in AT_ONCE:
            store.down = None

    await _lasting(world, fault, "log", undo)


def _revoke_key(world: SoakWorld) -> None:
    if len(world.keys) <= FEWEST_KEYS:
        return
    key = world.keys.pop()
    world.publish()
    now_s = asyncio.get_running_loop().time()
    world.revoked_s[key] = now_s
    world.faults.append(PlayedFault(FaultKind.KEY_REVOKED, key, now_s, now_s))


def _let_crash(world: SoakWorld, fault: PlannedFault) -> None:
    """Have callers send a request that ends each endpoint that begins to run it."""
    body = f"crash-{fault.number}".encode()
    world.crashing[body] = world.keys[fault.target % len(world.keys)]
    now_s = asyncio.get_running_loop().time()
    world.faults.append(PlayedFault(fault.kind, body.decode(), now_s, now_s))


async def _zone_out(world: SoakWorld, fault: PlannedFault) -> None:
    zone = ZONES[fault.target % len(ZONES)]
    if world.zones_out:
        return
    world.zones_out.add(zone)
    world.fleet.evacuate_zone(zone)

    def undo() -> None:
        world.fleet.restore_zone(zone)
        world.zones_out.discard(zone)

    await _lasting(world, fault, zone, undo)


async def _on_endpoint(world: SoakWorld, fault: PlannedFault) -> None:
    names = sorted(world.servers)
    instance = names[fault.target % len(names)]
    if fault.kind is FaultKind.ENDPOINT_CRASHES:
        await _crash(world, fault, instance)
    elif fault.kind in LEAVES:
        await _leave(world, fault, instance)
    elif fault.kind in MISBEHAVIOURS:
        behaviour = world.servers[instance].behaviour
        if behaviour.limit_per_s is not None and fault.kind in HEALS:
            return
        MISBEHAVIOURS[fault.kind](behaviour)
        heal = HEALS.get(fault.kind, _heal)
        await _lasting(world, fault, instance, lambda: heal(behaviour))
    else:
        await _on_link(world, fault, world.endpoint_links[instance], instance)


def _fail(behaviour: EndpointBehaviour) -> None:
    behaviour.failing = True


def _fill(behaviour: EndpointBehaviour) -> None:
    behaviour.full = True


def _limit(behaviour: EndpointBehaviour) -> None:
    behaviour.limit_per_s = LIMIT_PER_S


def _cut(behaviour: EndpointBehaviour) -> None:
    behaviour.cut_after = EVENTS_BEFORE_CUT


def _lose_answers(behaviour: EndpointBehaviour) -> None:
    behaviour.lost_answers += LOST_ANSWERS


MISBEHAVIOURS: dict[FaultKind, Callable[[EndpointBehaviour], None]] = {
    FaultKind.ENDPOINT_FAILS: _fail,
    FaultKind.ENDPOINT_FULL: _fill,
    FaultKind.ENDPOINT_LIMITS: _limit,
    FaultKind.ENDPOINT_CUTS: _cut,
    FaultKind.ENDPOINT_LOSES_ANSWERS: _lose_answers,
}


def _heal(behaviour: EndpointBehaviour) -> None:
    """End what lasts; answers that are to be lost are counted down by themselves."""
    behaviour.failing = behaviour.full = False
    behaviour.cut_after = None


def _lift(behaviour: EndpointBehaviour) -> None:
    behaviour.limit_per_s = None


HEALS: dict[FaultKind, Callable[[EndpointBehaviour], None]] = {
    FaultKind.ENDPOINT_LIMITS: _lift,
}


async def _crash(world: SoakWorld, fault: PlannedFault, instance: str) -> None:
    """Replace an endpoint without a word by one with another name."""
    service = world.servers[instance].report.service
    loop = asyncio.get_running_loop()
    world.faults.append(PlayedFault(fault.kind, instance, loop.time(), loop.time()))
    await world.add_endpoint(service)
    world.remove_endpoint(instance)


async def _leave(world: SoakWorld, fault: PlannedFault, instance: str) -> None:
    """Let an endpoint leave as planned, after another has taken its place."""
    if world.servers[instance].report.draining:
        return
    await world.add_endpoint(world.servers[instance].report.service)
    # An endpoint says nothing while the log is away, and leaves once it was heard.
    while not world.leave(instance, with_word=fault.kind is FaultKind.ENDPOINT_LEAVES):
        await asyncio.sleep(LEAVE_RETRY_S)
    loop = asyncio.get_running_loop()
    played = PlayedFault(fault.kind, instance, loop.time())
    world.faults.append(played)
    await asyncio.sleep(LEAVING_SERVES_S)
    played.until_s = loop.time()
    world.remove_endpoint(instance)
