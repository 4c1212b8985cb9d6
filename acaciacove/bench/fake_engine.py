"""A batch engine with a small prefix cache, in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define, field

from acaciacove.bench.engine_settings import EngineSettings
from acaciacove.bench.event_queue import EventQueue
from acaciacove.bench.fake_request import FakeRequest

Done = Callable[[FakeRequest, bool], None]


@define
class FakeEngine:
    """All running requests advance alike, the slower the more of them run.

    Cold, it bears little: above ``bears()`` it thrashes, which ``over_count`` counts
    (one for each request started above the bound).
    """

    events: EventQueue
    settings: EngineSettings
    cold_since_s: float = float("-inf")
    restarts: int = 0
    over_count: int = 0
    hits: int = 0
    slowed: float = 1.0
    _advanced: float = 0.0
    _advanced_at_s: float = 0.0
    _marks: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _sequence: int = 0
    _running: int = 0
    _jobs: dict[str, tuple[FakeRequest, Done]] = field(factory=dict)
    _generation: int = 0
    _cache: dict[str, None] = field(factory=dict)

    @property
    def running(self) -> int:
        """Count the running requests."""
        return self._running

    def bears(self) -> int:
        """Return how many requests the engine truly bears now."""
        cold, warm = self.settings.cold_bears, self.settings.warm_bears
        passed = (self.events.now_s - self.cold_since_s) / self.settings.warm_up_s
        share = min(1.0, max(0.0, passed)) ** self.settings.warm_up_power
        return int(cold + (warm - cold) * share)

    def turn_cold(self) -> None:
        """Restart in place: the cache is lost and little is borne."""
        self._advance()
        self.cold_since_s = self.events.now_s
        self.restarts += 1
        self._cache.clear()
        self._reschedule()

    def turn_cold_silently(self) -> None:
        """Lose the warmth under load, with nothing that tells of it."""
        restarts = self.restarts
        self.turn_cold()
        self.restarts = restarts

    def restart_empty(self) -> None:
        """Restart after everything that ran has been moved away."""
        for request, done in list(self._jobs.values()):
            request.ended_at_s = self.events.now_s
            done(request, False)
        self._jobs.clear()
        self._marks.clear()
        self._running = 0
        self.turn_cold()

    def token_interval_s(self) -> float:
        """Return the time between two tokens of each running request."""
        return 1.0 / self._speed()

    def start(self, request: FakeRequest, done: Done) -> None:
        """Run a request; ``done`` is called with whether it went well."""
        self._advance()
        request.started_at_s = self.events.now_s
        self._running += 1
        if self._running > self.bears():
            self.over_count += 1
        prefill = self.settings.prefill_tokens(request.prompt_tokens)
        if request.prefix and self._hit(request.prefix):
            prefill *= self.settings.cached_prefill_share
        self._mark(self._advanced + prefill + 1.0, lambda: self._first(request))
        end = self._advanced + prefill + max(1.0, request.tokens)
        self._jobs[request.name] = (request, done)
        self._mark(end, lambda: self._end(request))
        self._reschedule()

    def _hit(self, prefix: str) -> bool:
        """Look a prefix up and keep it, dropping the oldest beyond memory."""
        hit = prefix in self._cache
        self.hits += hit
        self._cache.pop(prefix, None)
        self._cache[prefix] = None
        if len(self._cache) > self.settings.cached_prefixes:
            del self._cache[next(iter(self._cache))]
        return hit

    def _mark(self, at: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heappush(self._marks, (at, self._sequence, callback))

    def _first(self, request: FakeRequest) -> None:
        request.first_token_at_s = self.events.now_s

    def _end(self, request: FakeRequest) -> None:
        self._running -= 1
        _, done = self._jobs.pop(request.name)
        request.ended_at_s = self.events.now_s
        done(request, True)

    def _speed(self) -> float:
        """Return tokens a second of each running request."""
        interval_s = self.settings.token_s + self.settings.token_batch_s * self._running
        over = max(0.0, self._running / max(1, self.bears()) - 1.0)
        return 1.0 / (interval_s * self.slowed * (1.0 + self.settings.thrash * over))

    def _advance(self) -> None:
        now_s = self.events.now_s
        if self._running:
            self._advanced += (now_s - self._advanced_at_s) * self._speed()
        self._advanced_at_s = now_s

    def _reschedule(self) -> None:
        """Call back at the next mark; older call-backs then do nothing."""
        self._generation += 1
        if not self._marks:
            return
        generation = self._generation
        left = max(0.0, self._marks[0][0] - self._advanced)
        self.events.after(left / self._speed(), lambda: self._reach(generation))

    def _reach(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        at, _, callback = heappop(self._marks)
        self._advanced = max(self._advanced, at)
        callback()
        self._reschedule()
