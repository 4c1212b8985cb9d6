"""How long a request would wait at one endpoint before its prompt is read."""

from collections.abc import Iterable

from attrs import define, field, frozen

# A wait that was seen says less of the endpoint the older it is: after this long half
# of it counts, after twice as long none. Queues of some seconds drain in that time.
MEMORY_S = 1.5
# How far the newest wait replaces what was known before.
NEWEST_SHARE = 0.6
# What an endpoint of which nothing is known counts for, as a share of the usual wait.
# At nothing all would try the unknown ones at once, at 1 nobody would.
UNKNOWN_SHARE = 0.35


@frozen
class AwaitedPiece:
    """A request whose first piece is awaited.

    ``own_s`` is how long it was to take: known requests before it, and itself.
    """

    sent_s: float
    work_s: float
    own_s: float


@frozen
class ToldWork:
    """A request that another process has told it sent."""

    told_s: float
    work_s: float


@define
class EndpointBacklog:
    """What is known of an endpoint's queue.

    Own requests before a new one are known, and those that others told of. What
    nobody told shows in how much longer than expected a first piece took, or already
    takes: a request that is overdue tells of a queue long before its answer does.
    """

    free_s: float = -1e9
    others_s: float = 0.0
    others_seen_s: float = -1e9
    awaited: dict[int, AwaitedPiece] = field(factory=dict)
    told: list[ToldWork] = field(factory=list)

    def send(self, number: int, work_s: float, now_s: float) -> None:
        """Note a request that is sent; ``work_s`` is its time without a queue."""
        self.free_s = max(self.free_s, now_s) + work_s
        self.awaited[number] = AwaitedPiece(now_s, work_s, self.free_s - now_s)

    def answer(self, number: int, now_s: float) -> float | None:
        """Take a first piece; returns how long it took without own waits."""
        awaited = self.awaited.pop(number, None)
        if awaited is None:
            return None
        took_s = now_s - awaited.sent_s
        # Prompts are read in turn: what was sent before this one is through.
        self.told = [work for work in self.told if work.told_s > awaited.sent_s]
        self._see(max(0.0, took_s - awaited.own_s), now_s)
        self._start_over(now_s)
        return max(0.0, took_s - (awaited.own_s - awaited.work_s))

    def send_other(self, work_s: float, now_s: float) -> None:
        """Take word of a request that another process has just sent."""
        if self.free_s <= now_s:
            self.told.clear()
        self.free_s = max(self.free_s, now_s) + work_s
        self.told.append(ToldWork(now_s, work_s))

    def drop(self, number: int, now_s: float) -> None:
        """Stop waiting for a request that was given up or lost."""
        awaited = self.awaited.pop(number, None)
        if awaited is None:
            return
        overdue_s = now_s - awaited.sent_s - awaited.own_s
        if overdue_s > self.others_known_s(now_s):
            self._see(overdue_s, now_s)
        self._start_over(now_s)

    def _start_over(self, now_s: float) -> None:
        """Work out anew when the requests that are left will be through."""
        own_s = sum(a.work_s for a in self.awaited.values())
        self.free_s = now_s + own_s + sum(work.work_s for work in self.told)

    def _see(self, wait_s: float, now_s: float) -> None:
        known_s = self.others_known_s(now_s)
        self.others_s = known_s + NEWEST_SHARE * (wait_s - known_s)
        self.others_seen_s = now_s

    def freshness(self, now_s: float) -> float:
        """Return how far the last wait still counts, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.others_seen_s) / (2.0 * MEMORY_S))

    def others_known_s(self, now_s: float) -> float:
        """Return the wait for others' requests, as far as it is known."""
        known_s = self.others_s * self.freshness(now_s)
        for awaited in self.awaited.values():
            known_s = max(known_s, now_s - awaited.sent_s - awaited.own_s)
        return known_s

    def wait_s(self, now_s: float, usual_s: float) -> float:
        """Return how long a request that is sent now would wait."""
        unknown_s = UNKNOWN_SHARE * usual_s * (1.0 - self.freshness(now_s))
        own_s = max(0.0, self.free_s - now_s)
        return own_s + self.others_known_s(now_s) + unknown_s


def usual_wait_s(backlogs: Iterable[EndpointBacklog], now_s: float) -> float:
    """Return the wait for others' requests at endpoints, by the fresh ones."""
    weighed = [(b.freshness(now_s), b.others_known_s(now_s)) for b in backlogs]
    weight = sum(freshness for freshness, _ in weighed)
    if weight <= 0.0:
        return 0.0
    return sum(freshness * wait_s for freshness, wait_s in weighed) / weight
