"""How long a request would wait at one endpoint before its prompt is read."""

from collections.abc import Iterable

from attrs import define, field, frozen

# A wait that was seen says less of the endpoint the older it is: after this long half
# of it counts, after twice as long none. Queues of some seconds drain in that time.
WAIT_HALF_LIFE_S = 1.5
# How far the newest wait replaces what was known before.
EWMA_WEIGHT = 0.6
# What an endpoint of which nothing is known counts for, as a share of the usual wait.
# At nothing all would try the unknown ones at once, at 1 nobody would.
UNKNOWN_WAIT_SHARE = 0.35


@frozen
class PendingRequest:
    """A request whose first piece is awaited.

    ``expected_s`` is how long it was to take: known requests before it, and itself.
    """

    sent_s: float
    work_s: float
    expected_s: float


@frozen
class PeerWork:
    """A request that another process has told it sent."""

    received_s: float
    work_s: float


@define
class EndpointBacklog:
    """What is known of an endpoint's queue.

    Own requests before a new one are known, and those that others told of. What
    nobody told shows in how much longer than expected a first piece took, or already
    takes: a request that is overdue tells of a queue long before its answer does.
    """

    drained_at_s: float = -1e9
    residual_s: float = 0.0
    residual_at_s: float = -1e9
    pending: dict[int, PendingRequest] = field(factory=dict)
    peer_work: list[PeerWork] = field(factory=list)

    def send(self, number: int, work_s: float, now_s: float) -> None:
        """Note a request that is sent; ``work_s`` is its time without a queue."""
        self.drained_at_s = max(self.drained_at_s, now_s) + work_s
        self.pending[number] = PendingRequest(now_s, work_s, self.drained_at_s - now_s)

    def record_first_chunk(self, number: int, now_s: float) -> float | None:
        """Take a first piece; returns how long it took without own waits."""
        awaited = self.pending.pop(number, None)
        if awaited is None:
            return None
        took_s = now_s - awaited.sent_s
        # Prompts are read in turn: what was sent before this one is through.
        self.peer_work = [
            work for work in self.peer_work if work.received_s > awaited.sent_s
        ]
        self._observe_residual(max(0.0, took_s - awaited.expected_s), now_s)
        self._update_drained_at(now_s)
        return max(0.0, took_s - (awaited.expected_s - awaited.work_s))

    def add_peer_work(self, work_s: float, now_s: float) -> None:
        """Take word of a request that another process has just sent."""
        if self.drained_at_s <= now_s:
            self.peer_work.clear()
        self.drained_at_s = max(self.drained_at_s, now_s) + work_s
        self.peer_work.append(PeerWork(now_s, work_s))

    def discard(self, number: int, now_s: float) -> None:
        """Stop waiting for a request that was given up or lost."""
        awaited = self.pending.pop(number, None)
        if awaited is None:
            return
        overdue_s = now_s - awaited.sent_s - awaited.expected_s
        if overdue_s > self.residual_wait_s(now_s):
            self._observe_residual(overdue_s, now_s)
        self._update_drained_at(now_s)

    def _update_drained_at(self, now_s: float) -> None:
        """Work out anew when the requests that are left will be through."""
        own_s = sum(a.work_s for a in self.pending.values())
        self.drained_at_s = now_s + own_s + sum(work.work_s for work in self.peer_work)

    def _observe_residual(self, wait_s: float, now_s: float) -> None:
        known_s = self.residual_wait_s(now_s)
        self.residual_s = known_s + EWMA_WEIGHT * (wait_s - known_s)
        self.residual_at_s = now_s

    def freshness(self, now_s: float) -> float:
        """Return how far the last wait still counts, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.residual_at_s) / (2.0 * WAIT_HALF_LIFE_S))

    def residual_wait_s(self, now_s: float) -> float:
        """Return the wait for others' requests, as far as it is known."""
        known_s = self.residual_s * self.freshness(now_s)
        for awaited in self.pending.values():
            known_s = max(known_s, now_s - awaited.sent_s - awaited.expected_s)
        return known_s

    def wait_s(self, now_s: float, baseline_s: float) -> float:
        """Return how long a request that is sent now would wait."""
        unknown_s = UNKNOWN_WAIT_SHARE * baseline_s * (1.0 - self.freshness(now_s))
        own_s = max(0.0, self.drained_at_s - now_s)
        return own_s + self.residual_wait_s(now_s) + unknown_s


def baseline_wait_s(backlogs: Iterable[EndpointBacklog], now_s: float) -> float:
    """Return the wait for others' requests at endpoints, by the fresh ones."""
    weighed = [(b.freshness(now_s), b.residual_wait_s(now_s)) for b in backlogs]
    weight = sum(freshness for freshness, _ in weighed)
    if weight <= 0.0:
        return 0.0
    return sum(freshness * wait_s for freshness, wait_s in weighed) / weight
