"""State of one model-engine stand-in."""

import asyncio
import heapq
from collections import deque

from attrs import define, field

from acaciacove.standins.engine_counters import EngineCounters
from acaciacove.standins.engine_faults import EngineFaults
from acaciacove.standins.engine_profile import EngineProfile
from acaciacove.standins.prefix_cache import PrefixCache

NOT_COLD_S = float("-inf")
Waiting = tuple[int, int, asyncio.Future[None]]


@define
class EngineState:
    """One engine: its versions, batch, prefix cache, warm-up and counters."""

    versions: set[str] = field(factory=set)
    profile: EngineProfile = field(factory=EngineProfile)
    faults: EngineFaults = field(factory=EngineFaults)
    counters: EngineCounters = field(factory=EngineCounters)
    cache: PrefixCache = field(init=False)
    cold_until_s: float = NOT_COLD_S
    in_flight: int = 0
    queue: list[Waiting] = field(factory=list)
    arrivals: int = 0
    fence: int = -1
    role: str = "serve"
    incarnation: int = 0
    loads: deque[tuple[float, int, int]] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Create the prefix cache in the size of the profile."""
        self.cache = PrefixCache(self.profile.cache_blocks)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the engine is warming up and has only its cold capacity."""
        return now_s < self.cold_until_s

    def turn_cold(self, now_s: float) -> None:
        """Restart the warm-up, as after a process restart."""
        self.cold_until_s = now_s + self.profile.warm_up_s

    def crash(self, now_s: float) -> None:
        """Lose all requests in flight and the cache, and restart the warm-up."""
        self.counters.fell_over += 1
        self.incarnation += 1
        self.cache = PrefixCache(self.profile.cache_blocks)
        self.turn_cold(now_s)

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a batch slot; lower priority numbers are served first."""
        if self.in_flight >= self.profile.max_batch:
            await self._queue(priority)
        else:
            self.in_flight += 1
        self._record_load()
        now_s = asyncio.get_running_loop().time()
        if self.is_cold(now_s) and self.in_flight > self.profile.cold_bears:
            self.crash(now_s)

    def release_slot(self) -> None:
        """Pass the slot to the first queued request, or free it."""
        while self.queue:
            _, _, slot = heapq.heappop(self.queue)
            if not slot.done():
                slot.set_result(None)
                self._record_load()
                return
        self.in_flight -= 1
        self._record_load()

    def reported_load(self, now_s: float) -> tuple[int, int]:
        """Return in-flight and queued counts as of ``load_lag_s`` ago."""
        as_of_s = now_s - self.profile.load_lag_s
        while len(self.loads) > 1 and self.loads[1][0] <= as_of_s:
            self.loads.popleft()
        if not self.loads or self.loads[0][0] > as_of_s:
            return 0, 0
        return self.loads[0][1], self.loads[0][2]

    def token_time_s(self) -> float:
        """Return the time per token at the current batch size."""
        peers = max(0, self.in_flight - 1)
        return self.profile.token_s + peers * self.profile.token_per_peer_s

    async def _queue(self, priority: int) -> None:
        slot = asyncio.get_running_loop().create_future()
        self.arrivals += 1
        heapq.heappush(self.queue, (priority, self.arrivals, slot))
        self._record_load()
        try:
            await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                self.release_slot()
            raise

    def _record_load(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.loads.append((now_s, self.in_flight, len(self.queue)))
        counters = self.counters
        counters.most_in_flight = max(counters.most_in_flight, self.in_flight)
        if self.is_cold(now_s):
            counters.most_in_flight_cold = max(
                counters.most_in_flight_cold, self.in_flight
            )
        as_of_s = now_s - self.profile.load_lag_s
        while len(self.loads) > 2 and self.loads[1][0] <= as_of_s:
            self.loads.popleft()
