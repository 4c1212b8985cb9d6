"""A replica that leaves while a gateway is cut off from the store gets no more work."""

import asyncio
import os
from dataclasses import dataclass

from review2_replica import Replica
from review2_store import SERVERS
from review2_world import World, run_case

REPLICAS = 2
ROUNDS = 8
KINDS = ("idempotent", "non_idempotent")
PER_S = 40.0
CALM_S = 2.0
# Below the 5.5 s of the site file, also where a timer is late.
CUT_S = 5.4
# When the replica's entry is removed, from the beginning of the cut. It serves on until
# ``AFTER_S`` after the cut.
LEAVES_S = 3.5
AFTER_S = 4.5
# The pages' bounds: the drain time, and after how long machines are in touch again.
DRAIN_S = 2.0
CONTACT_S = 3.0


@dataclass
class Departure:
    """One round: the replica that left, and from when on it may get nothing."""

    replica: Replica
    removed_s: float = 0.0
    healed_s: float = 0.0

    @property
    def allowed_until_s(self) -> float:
        """The later of the drain time's end and the machine's return in touch."""
        return max(self.removed_s + DRAIN_S, self.healed_s + CONTACT_S)


async def play_round(world: World, number: int, has_trouble: bool) -> Departure:
    """Have one replica leave, without a report, while the gateway is cut off."""
    departure = Departure(await world.add_replica(f"i-leaving-{number}"))
    loop = asyncio.get_running_loop()
    await asyncio.sleep(CALM_S)
    if has_trouble:
        world.store.is_cut = True
        world.note("the gateway is cut off from the store")
    await asyncio.sleep(LEAVES_S)
    departure.replica.stop_pinging()
    world.store.put_bytes(SERVERS, departure.replica.name, b"")
    departure.removed_s = loop.time()
    world.note(f"the store removes the entry of {departure.replica.name}")
    await asyncio.sleep(CUT_S - LEAVES_S)
    world.store.is_cut = False
    departure.healed_s = loop.time()
    world.note("the cut is over")
    await asyncio.sleep(AFTER_S)
    departure.replica.exit()
    return departure


async def play_rounds(world: World, has_trouble: bool) -> list[Departure]:
    """Play all rounds, one after the other."""
    return [
        await play_round(world, number + 1, has_trouble) for number in range(ROUNDS)
    ]


async def play(world: World, has_trouble: bool) -> tuple[bool, str]:
    """Keep up steady traffic during all rounds."""
    await world.open(REPLICAS, 1)
    rounds = asyncio.create_task(play_rounds(world, has_trouble))
    while not rounds.done():
        await world.traffic(0.5, PER_S, KINDS)
    late_counts = []
    for departure in await rounds:
        late = [
            run.arrived_s - departure.allowed_until_s
            for run in world.runs
            if run.replica == departure.replica.name
            and run.arrived_s > departure.allowed_until_s
        ]
        name, longest_s = departure.replica.name, max(late, default=0.0)
        world.note(f"{name}: {len(late)} requests too late, by up to {longest_s:.2f} s")
        late_counts.append(len(late))
    seen = f"requests too late at the replica that left, in each round: {late_counts}"
    return not any(late_counts), seen


if __name__ == "__main__":
    # With TROUBLE=0 the same is played without the disruption.
    run_case(__file__, play, os.environ.get("TROUBLE", "1") != "0")
