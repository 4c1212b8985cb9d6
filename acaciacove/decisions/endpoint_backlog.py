"""Estimates how long a request waits at an endpoint before its prompt is read."""

from collections.abc import Iterable

from attrs import define, field, frozen

# An observed wait loses weight linearly with its age: half of it after this time, all
# of it after twice this time. Queues of a few seconds drain in that time.
WAIT_HALF_LIFE_S = 1.5
# Weight of the newest wait in the moving average.
EWMA_WEIGHT = 0.6
# Wait assumed at an endpoint without recent observations, as a share of the baseline.
# With 0 all gateways would choose such endpoints at once, with 1 none would.
UNKNOWN_WAIT_SHARE = 0.35


@frozen
class PendingRequest:
    """Request of this gateway whose first chunk has not arrived.

    ``work_s`` is its time without a queue. ``expected_s`` is the expected time to the
    first chunk, including the known requests before it.
    """

    sent_s: float
    work_s: float
    expected_s: float


@frozen
class PeerWork:
    """Request that a peer reported to have sent to the endpoint."""

    received_s: float
    work_s: float


@define
class EndpointBacklog:
    """Estimate of the queue at an endpoint.

    Local requests and those that peers reported are known. The residual wait, behind
    requests that nobody reported, is the time that a first chunk took beyond its
    expected time. A pending request past its expected time counts too, so a queue is
    visible long before the answer arrives. ``reported_wait_s`` is the wait behind the
    requests that the endpoint reported as waiting, where such reports are used.
    """

    drained_at_s: float = -1e9
    reported_wait_s: float = 0.0
    reported_at_s: float = -1e9
    residual_s: float = 0.0
    residual_at_s: float = -1e9
    pending: dict[int, PendingRequest] = field(factory=dict)
    peer_work: list[PeerWork] = field(factory=list)

    def send(self, number: int, work_s: float, now_s: float) -> None:
        """Record a request that is sent; ``work_s`` is its time without a queue."""
        self.drained_at_s = max(self.drained_at_s, now_s) + work_s
        self.pending[number] = PendingRequest(now_s, work_s, self.drained_at_s - now_s)

    def record_first_chunk(self, number: int, now_s: float) -> float | None:
        """Record the first chunk of a request.

        Returns the time that it took without the wait behind known requests, or None
        if the request is not pending.
        """
        request = self.pending.pop(number, None)
        if request is None:
            return None
        took_s = now_s - request.sent_s
        # Endpoints read prompts in order of arrival: earlier requests have been read.
        self.peer_work = [
            work for work in self.peer_work if work.received_s > request.sent_s
        ]
        self._observe_residual(max(0.0, took_s - request.expected_s), now_s)
        self._update_drained_at(now_s)
        return max(0.0, took_s - (request.expected_s - request.work_s))

    def add_peer_work(self, work_s: float, now_s: float) -> None:
        """Record a request that a peer reported to have just sent."""
        if self.drained_at_s <= now_s:
            self.peer_work.clear()
        self.drained_at_s = max(self.drained_at_s, now_s) + work_s
        self.peer_work.append(PeerWork(now_s, work_s))

    def discard(self, number: int, now_s: float) -> None:
        """Remove a pending request that was cancelled or lost."""
        request = self.pending.pop(number, None)
        if request is None:
            return
        overdue_s = now_s - request.sent_s - request.expected_s
        if overdue_s > self.residual_wait_s(now_s):
            self._observe_residual(overdue_s, now_s)
        self._update_drained_at(now_s)

    def _update_drained_at(self, now_s: float) -> None:
        """Recompute when the remaining known requests will have been read."""
        local_s = sum(request.work_s for request in self.pending.values())
        self.drained_at_s = (
            now_s + local_s + sum(work.work_s for work in self.peer_work)
        )

    def _observe_residual(self, wait_s: float, now_s: float) -> None:
        previous_s = self.residual_wait_s(now_s)
        self.residual_s = previous_s + EWMA_WEIGHT * (wait_s - previous_s)
        self.residual_at_s = now_s

    def freshness(self, now_s: float) -> float:
        """Return the weight of the last observed wait by its age, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.residual_at_s) / (2.0 * WAIT_HALF_LIFE_S))

    def residual_wait_s(self, now_s: float) -> float:
        """Return the wait beyond the known requests, as far as it was observed."""
        residual_s = self.residual_s * self.freshness(now_s)
        for request in self.pending.values():
            residual_s = max(residual_s, now_s - request.sent_s - request.expected_s)
        return residual_s

    def report_wait(self, wait_s: float, now_s: float) -> None:
        """Apply the wait behind the requests that the endpoint reports as waiting."""
        self.reported_wait_s = wait_s
        self.reported_at_s = now_s

    def reported_freshness(self, now_s: float) -> float:
        """Return the weight of the reported wait by its age, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.reported_at_s) / (2.0 * WAIT_HALF_LIFE_S))

    def wait_s(self, now_s: float, baseline_s: float) -> float:
        """Return the estimated wait of a request that is sent now."""
        unknown_s = UNKNOWN_WAIT_SHARE * baseline_s * (1.0 - self.freshness(now_s))
        known_s = max(0.0, self.drained_at_s - now_s)
        seen_s = known_s + self.residual_wait_s(now_s) + unknown_s
        freshness = self.reported_freshness(now_s)
        if freshness <= 0.0:
            return seen_s
        sent_since_s = sum(
            request.work_s
            for request in self.pending.values()
            if request.sent_s > self.reported_at_s
        )
        reported_s = freshness * self.reported_wait_s + sent_since_s
        return max(seen_s, reported_s)


def baseline_wait_s(backlogs: Iterable[EndpointBacklog], now_s: float) -> float:
    """Return the mean residual wait of endpoints, weighted by freshness."""
    weighted = [(b.freshness(now_s), b.residual_wait_s(now_s)) for b in backlogs]
    weight = sum(freshness for freshness, _ in weighted)
    if weight <= 0.0:
        return 0.0
    return sum(freshness * wait_s for freshness, wait_s in weighted) / weight
