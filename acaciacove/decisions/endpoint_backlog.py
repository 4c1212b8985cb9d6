"""Estimates how long a request waits at an endpoint before its prompt is read."""

from collections.abc import Iterable

from attrs import define, field, frozen

# An observed wait loses weight linearly with its age: half of it after this time, all
# of it after twice this time. Queues of a few seconds drain in that time.
MEMORY_S = 1.5
# Weight of the newest wait in the moving average.
NEWEST_SHARE = 0.6
# Wait assumed at an endpoint without recent observations, as a share of the baseline.
# With 0 all gateways would choose such endpoints at once, with 1 none would.
UNKNOWN_SHARE = 0.35


@frozen
class AwaitedPiece:
    """Request of this gateway whose first chunk has not arrived.

    ``work_s`` is its time without a queue. ``expected_s`` is the expected time to the
    first chunk, including the known requests before it.
    """

    sent_s: float
    work_s: float
    own_s: float


@frozen
class ToldWork:
    """Request that a peer reported to have sent to the endpoint."""

    told_s: float
    work_s: float


@define
class EndpointBacklog:
    """Estimate of the queue at an endpoint.

    Local requests and those that peers reported are known. The residual wait, behind
    requests that nobody reported, is the time that a first chunk took beyond its
    expected time. A pending request past its expected time counts too, so a queue is
    visible long before the answer arrives.
    """

    free_s: float = -1e9
    others_s: float = 0.0
    others_seen_s: float = -1e9
    awaited: dict[int, AwaitedPiece] = field(factory=dict)
    told: list[ToldWork] = field(factory=list)

    def send(self, number: int, work_s: float, now_s: float) -> None:
        """Record a request that is sent; ``work_s`` is its time without a queue."""
        self.free_s = max(self.free_s, now_s) + work_s
        self.awaited[number] = AwaitedPiece(now_s, work_s, self.free_s - now_s)

    def answer(self, number: int, now_s: float) -> float | None:
        """Record the first chunk of a request.

        Returns the time that it took without the wait behind known requests, or None
        if the request is not pending.
        """
        request = self.awaited.pop(number, None)
        if request is None:
            return None
        took_s = now_s - request.sent_s
        # Endpoints read prompts in order of arrival: earlier requests have been read.
        self.told = [work for work in self.told if work.told_s > request.sent_s]
        self._see(max(0.0, took_s - request.own_s), now_s)
        self._start_over(now_s)
        return max(0.0, took_s - (request.own_s - request.work_s))

    def send_other(self, work_s: float, now_s: float) -> None:
        """Record a request that a peer reported to have just sent."""
        if self.free_s <= now_s:
            self.told.clear()
        self.free_s = max(self.free_s, now_s) + work_s
        self.told.append(ToldWork(now_s, work_s))

    def drop(self, number: int, now_s: float) -> None:
        """Remove a pending request that was cancelled or lost."""
        request = self.awaited.pop(number, None)
        if request is None:
            return
        overdue_s = now_s - request.sent_s - request.own_s
        if overdue_s > self.others_known_s(now_s):
            self._see(overdue_s, now_s)
        self._start_over(now_s)

    def _start_over(self, now_s: float) -> None:
        """Recompute when the remaining known requests will have been read."""
        local_s = sum(request.work_s for request in self.awaited.values())
        self.free_s = now_s + local_s + sum(work.work_s for work in self.told)

    def _see(self, wait_s: float, now_s: float) -> None:
        previous_s = self.others_known_s(now_s)
        self.others_s = previous_s + NEWEST_SHARE * (wait_s - previous_s)
        self.others_seen_s = now_s

    def freshness(self, now_s: float) -> float:
        """Return the weight of the last observed wait by its age, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.others_seen_s) / (2.0 * MEMORY_S))

    def others_known_s(self, now_s: float) -> float:
        """Return the wait beyond the known requests, as far as it was observed."""
        residual_s = self.others_s * self.freshness(now_s)
        for request in self.awaited.values():
            residual_s = max(residual_s, now_s - request.sent_s - request.own_s)
        return residual_s

    def wait_s(self, now_s: float, usual_s: float) -> float:
        """Return the estimated wait of a request that is sent now."""
        unknown_s = UNKNOWN_SHARE * usual_s * (1.0 - self.freshness(now_s))
        known_s = max(0.0, self.free_s - now_s)
        return known_s + self.others_known_s(now_s) + unknown_s


def usual_wait_s(backlogs: Iterable[EndpointBacklog], now_s: float) -> float:
    """Return the mean residual wait of endpoints, weighted by freshness."""
    weighted = [(b.freshness(now_s), b.others_known_s(now_s)) for b in backlogs]
    weight = sum(freshness for freshness, _ in weighted)
    if weight <= 0.0:
        return 0.0
    return sum(freshness * wait_s for freshness, wait_s in weighted) / weight
