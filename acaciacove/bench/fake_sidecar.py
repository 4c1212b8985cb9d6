"""The sidecar's decisions around one fake engine."""

from collections import deque
from collections.abc import Callable

from attrs import define, field

from acaciacove.bench.event_queue import EventQueue
from acaciacove.bench.fake_engine import FakeEngine
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.concurrency_limit import ConcurrencyLimit
from acaciacove.decisions.ramp import Ramp
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.fleet.instance import Instance
from acaciacove.messages.load import Load

Reply = Callable[[FakeRequest, bool, Load], None]
SERVICE_SMOOTHING = 0.05


@define
class FakeSidecar:
    """Real admission queue, ramp and adaptive limit before a fake engine.

    With ``first_come`` requests run in order of arrival with no refusal, as the
    baseline; without ``ramp`` the warm limit holds from the start.
    """

    instance: Instance
    engine: FakeEngine
    events: EventQueue
    queue: AdmissionQueue
    ramp: Ramp | None
    weights: dict[str, float]
    first_come: bool = False
    started_tokens: float = 0.0
    expected: int = 0
    _adaptive: ConcurrencyLimit = field(init=False)
    _line: deque[tuple[FakeRequest, Reply]] = field(factory=deque)
    _waiting: dict[str, tuple[FakeRequest, Reply]] = field(factory=dict)
    _service_s: float = 0.0
    _delay_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Begin with the warm limit; the ramp bounds it."""
        self._adaptive = ConcurrencyLimit(float(self.engine.settings.warm_bears))

    def limit(self) -> int:
        """Return how many requests may run now."""
        warm = self.engine.settings.warm_bears
        if self.ramp is None:
            return warm
        return min(
            self.ramp.limit(self.events.now_s), max(1, int(self._adaptive.limit))
        )

    def load(self) -> Load:
        """Report as the sidecar does on every answer."""
        return Load(
            in_flight=self.engine.running,
            queued=len(self._line) + self.queue.queued,
            limit=self.limit(),
            cold=self.ramp is not None and not self.ramp.warm,
            queue_delay_s=self._delay_s,
            service_s=self._service_s,
        )

    def run(self, request: FakeRequest, reply: Reply) -> None:
        """Take a request; ``reply`` comes once, with the result and a load report."""
        self.expected -= 1
        if self.first_come:
            self._line.append((request, reply))
            self._pump_line()
            return
        item = self._item(request)
        self._waiting[request.name] = (request, reply)
        refusal = self.queue.offer(item, self.events.now_s)
        if refusal is not None:
            self._refuse(request.name)
        self._pump()

    def tick(self) -> None:
        """Look at the engine's restart count and let a grown limit take effect."""
        if self.ramp is not None:
            now_s = self.events.now_s
            self.ramp.reported(Load(), self.engine.restarts, now_s)
            if self.engine.running:
                self.ramp.observed_gap(self.engine.token_interval_s(), now_s)
            if not self.ramp.warm:
                self._adaptive.reset(self.engine.settings.warm_bears)
        if self.first_come:
            self._pump_line()
        else:
            self._pump()

    def _item(self, request: FakeRequest) -> WaitingItem:
        return WaitingItem(
            request.name,
            request.organisation,
            self.weights.get(request.organisation, 1.0),
            request.tokens,
            request.arrived_at_s + request.deadline_s,
            request.batch,
        )

    def _pump(self) -> None:
        now_s = self.events.now_s
        self.queue.limit = self.limit()
        while (item := self.queue.next(now_s)) is not None:
            request, reply = self._waiting.pop(item.request_id)
            self._start(request, reply, item)
        for refused in self.queue.take_refused():
            self._refuse(refused.item.request_id)

    def _pump_line(self) -> None:
        while self._line and self.engine.running < self.limit():
            request, reply = self._line.popleft()
            self._start(request, reply, None)

    def _refuse(self, name: str) -> None:
        request, reply = self._waiting.pop(name)
        reply(request, False, self.load())

    def _start(
        self, request: FakeRequest, reply: Reply, item: WaitingItem | None
    ) -> None:
        self._delay_s = self.events.now_s - request.arrived_at_s
        self.started_tokens += request.tokens

        def done(ended: FakeRequest, ok: bool) -> None:
            self._finished(ended, ok, item)
            reply(ended, ok, self.load())

        self.engine.start(request, done)

    def _finished(
        self, request: FakeRequest, ok: bool, item: WaitingItem | None
    ) -> None:
        now_s = self.events.now_s
        service_s = now_s - request.started_at_s
        weight = SERVICE_SMOOTHING if self._service_s else 1.0
        self._service_s += weight * (service_s - self._service_s)
        spoken_s = now_s - request.first_token_at_s
        token_s = spoken_s / max(1.0, request.tokens - 1.0)
        if self.ramp is not None:
            was_warm = self.ramp.warm
            self.ramp.finished(token_s, ok, now_s, request.started_at_s)
            if was_warm and self.ramp.warm:
                warm = self.engine.settings.warm_bears
                self._adaptive.finished(token_s, request.started_at_s, ok, now_s, warm)
        if item is None:
            self.events.after(0.0, self._pump_line)
            return
        self.queue.finish(item, now_s, ok)
        self.events.after(0.0, self._pump)
