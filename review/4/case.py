"""An entry whose ``born`` is text must not end the gateways."""

import os

from review2_store import SERVERS
from review2_world import SERVICE, World, run_case

REPLICAS = 2
GATEWAYS = 3
KINDS = ("idempotent", "non_idempotent")
CALM_S = 4.0
PLAY_S = 20.0
PER_S = 20.0
# The text of the field has this many digits; the whole entry has 5 kB.
DIGITS = 5_000
# The bound of the rule: on two machines at least, processes end three times.
MACHINES = 2
ENDS = 3


async def play(world: World, has_trouble: bool) -> tuple[bool, str]:
    """Let another writer put one entry, once."""
    await world.open(REPLICAS, GATEWAYS)
    await world.traffic(CALM_S, PER_S, KINDS)
    before = len(world.calls)
    if has_trouble:
        entry = {
            "service": SERVICE,
            "address": f"{world.free_host()}:8080",
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": "7" * DIGITS,
        }
        world.store.put(SERVERS, "m-1", entry)
        world.note("another writer puts servers/m-1, whose born is text")
    await world.traffic(PLAY_S, PER_S, KINDS)
    for gateway in world.gateways:
        world.note(f"{gateway.name} has ended by itself: {gateway.exits}")
    ending = [g for g in world.gateways if len(g.exits) >= ENDS]
    after = world.calls[before:]
    served = sum(c.result == 200 for c in after)
    seen = (
        f"ends by themselves: {[len(g.exits) for g in world.gateways]} in {PLAY_S:.0f}"
        f" s, {served} of {len(after)} requests served"
    )
    return len(ending) < MACHINES, seen


if __name__ == "__main__":
    # With TROUBLE=0 the same is played without the disruption.
    run_case(__file__, play, os.environ.get("TROUBLE", "1") != "0")
