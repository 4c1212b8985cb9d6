"""The faults of a promise run, each switched on for a while and healed again."""

import asyncio
from collections.abc import Awaitable, Callable

from acaciacove.bench.promise_fleet import ZONES, PromiseFleet
from acaciacove.fleet.role import Role

Fault = Callable[[PromiseFleet, float], Awaitable[None]]


async def log_down(fleet: PromiseFleet, seconds: float) -> None:
    """Take the log down."""
    fleet.world.log.down = True
    await asyncio.sleep(seconds)
    fleet.world.log.down = False


async def log_slow(fleet: PromiseFleet, seconds: float) -> None:
    """Make the log slow."""
    usual_s = fleet.world.log.latency_s
    fleet.world.log.latency_s = 0.8
    await asyncio.sleep(seconds)
    fleet.world.log.latency_s = usual_s


async def lost_replies(fleet: PromiseFleet, seconds: float) -> None:
    """Lose replies to appends that took effect."""
    fleet.world.log.lost_reply_share = 0.4
    await asyncio.sleep(seconds)
    fleet.world.log.lost_reply_share = 0.0


async def late_appends(fleet: PromiseFleet, seconds: float) -> None:
    """Let appends land after they were given up."""
    fleet.world.log.late_share = 0.3
    await asyncio.sleep(seconds)
    fleet.world.log.late_share = 0.0


async def log_reaches_one(fleet: PromiseFleet, seconds: float) -> None:
    """Leave one process that can reach the log."""
    fleet.world.log_readers = {fleet.world.random.choice(ZONES_ENTRIES)}
    await asyncio.sleep(seconds)
    fleet.world.log_readers = None


async def datagrams_lost(fleet: PromiseFleet, seconds: float) -> None:
    """Lose, double and delay datagrams."""
    network = fleet.world.network
    network.loss, network.copies = 0.3, 0.2
    usual_s, network.delay_s = network.delay_s, 0.02
    await asyncio.sleep(seconds)
    network.loss, network.copies, network.delay_s = 0.0, 0.0, usual_s


async def connections_broken(fleet: PromiseFleet, seconds: float) -> None:
    """Break connections after the work was done."""
    fleet.world.network.broken = 0.2
    await asyncio.sleep(seconds)
    fleet.world.network.broken = 0.0


async def zone_cut_off(fleet: PromiseFleet, seconds: float) -> None:
    """Cut an availability zone off from the others and from the log."""
    zone = fleet.world.random.choice(ZONES)
    fleet.world.network.cut_off.add(zone)
    await asyncio.sleep(seconds)
    fleet.world.network.cut_off.discard(zone)
    fleet.world.cut_until_s[zone] = asyncio.get_running_loop().time()


async def entry_killed(fleet: PromiseFleet, seconds: float) -> None:
    """Kill an entry."""
    await asyncio.sleep(fleet.world.random.uniform(0.0, seconds / 2))
    await _on_one(fleet, Role.ENTRY, fleet.kill)


async def sidecar_killed(fleet: PromiseFleet, seconds: float) -> None:
    """Kill a sidecar."""
    await asyncio.sleep(fleet.world.random.uniform(0.0, seconds / 2))
    await _on_one(fleet, Role.ENDPOINT, fleet.kill)


async def entry_paused(fleet: PromiseFleet, seconds: float) -> None:
    """Pause an entry."""
    await _on_one(fleet, Role.ENTRY, lambda name: fleet.pause(name, seconds))


async def sidecar_paused(fleet: PromiseFleet, seconds: float) -> None:
    """Pause a sidecar."""
    await _on_one(fleet, Role.ENDPOINT, lambda name: fleet.pause(name, seconds))


async def entry_leaves(fleet: PromiseFleet, seconds: float) -> None:
    """Shut an entry down gracefully."""
    await _on_one(fleet, Role.ENTRY, fleet.leave)


async def sidecar_leaves(fleet: PromiseFleet, seconds: float) -> None:
    """Shut a sidecar down gracefully."""
    await _on_one(fleet, Role.ENDPOINT, fleet.leave)


async def endpoint_turns_cold(fleet: PromiseFleet, seconds: float) -> None:
    """Let endpoints turn cold without a word."""
    for endpoint in fleet.endpoints.values():
        if fleet.world.random.random() < 0.5:
            endpoint.turn_cold()
    await asyncio.sleep(seconds)


async def answers_crossed(fleet: PromiseFleet, seconds: float) -> None:
    """Let endpoints answer with another request's answer."""
    for endpoint in fleet.endpoints.values():
        endpoint.crossed = 0.2
    await asyncio.sleep(seconds)
    for endpoint in fleet.endpoints.values():
        endpoint.crossed = 0.0


async def _on_one(
    fleet: PromiseFleet, role: Role, act: Callable[[str], Awaitable[None]]
) -> None:
    """Do something to one instance that nothing else is being done to."""
    names = fleet.idle(fleet.names(role))
    if not names:
        return
    name = fleet.world.random.choice(names)
    fleet.busy.add(name)
    try:
        await act(name)
    finally:
        fleet.busy.discard(name)


ZONES_ENTRIES = [f"entry-{zone}" for zone in ZONES]

FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        log_down,
        log_slow,
        lost_replies,
        late_appends,
        log_reaches_one,
        datagrams_lost,
        connections_broken,
        zone_cut_off,
        entry_killed,
        sidecar_killed,
        entry_paused,
        sidecar_paused,
        entry_leaves,
        sidecar_leaves,
        endpoint_turns_cold,
        answers_crossed,
    )
}
# A record of a request survives the loss of its entry or of its sidecar, not of
# both within a minute and a half; see docs/decisions/billing.md.
NOT_TOGETHER = frozenset({"entry_killed", "sidecar_killed"})
