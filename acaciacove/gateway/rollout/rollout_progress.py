"""State and evidence of one roll-out in progress."""

from collections.abc import Callable

from attrs import define, field

from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.rollout.cell_counts import CellCounts
from acaciacove.gateway.rollout.evidence import Evidence, since
from acaciacove.gateway.rollout.in_flight_request import InFlightRequest
from acaciacove.gateway.rollout.judge import CELL_SEPARATOR
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.messages.rollout_view import RolloutView
from acaciacove.messages.version_cell import VersionCell

ENDPOINT_PREFIX = "endpoint/"
# A request is late when its first chunk takes this multiple of the baseline of its
# kind. Within a kind, times vary by half with the length of the prompt.
LATE_RATIO = 2.5
# Measured answers of the old version that are needed for a baseline.
MIN_TIMED_ANSWERS = 4
# A smaller delay never counts as late, whatever the ratio.
MIN_EXCESS_S = 0.1


def kind_cell_name(route: str, model: str | None) -> str:
    """Return the name of the cell of a kind of request."""
    return f"{route}{CELL_SEPARATOR}{model or ''}"


@define(eq=False)
class RolloutProgress:
    """Counts of this gateway and its peers for one roll-out order.

    ``sent_target`` and ``sent_all`` are the requests that this gateway has sent to
    the new version and to the whole service since the order. ``reserved_target``
    are those that are waiting for a connection to the new version.
    ``cutover_cells`` holds the counts of the new version at the cutover of all
    requests to it.
    """

    order: RolloutOrder
    phase: RolloutPhase = RolloutPhase.TRIAL
    phase_since_s: float = 0.0
    began_s: float = 0.0
    sent_target: int = 0
    sent_all: int = 0
    reserved_target: int = 0
    old_in_flight: int = 0
    judged_bad: bool = False
    local_counts: dict[tuple[bool, str], CellCounts] = field(factory=dict)
    peer_counts: dict[str, dict[tuple[bool, str], CellCounts]] = field(factory=dict)
    peer_views: dict[str, tuple[RolloutView, float]] = field(factory=dict)
    pending: dict[int, InFlightRequest] = field(factory=dict)
    cutover_cells: dict[str, CellCounts] = field(factory=dict)
    cutover_endpoint_cells: dict[str, CellCounts] = field(factory=dict)
    _limits_s: dict[str, float] = field(factory=dict)
    _last_number: int = 0

    #
    # Requests of this gateway
    #

    def record_sent(
        self, is_target: bool, kind: str, endpoint: str, now_s: float
    ) -> int:
        """Record a request that was sent; returns its number."""
        self._last_number += 1
        self.pending[self._last_number] = InFlightRequest(
            is_target, kind, endpoint, now_s
        )
        return self._last_number

    def record_answer(
        self, number: int, failed: bool, first_chunk_s: float | None
    ) -> None:
        """Record the first chunk of an answer, or a failure."""
        request = self.pending.pop(number, None)
        if request is None:
            return
        self._cell(request.is_target, request.kind).add(failed, first_chunk_s)
        if request.is_target:
            self._cell(True, ENDPOINT_PREFIX + request.endpoint).add(failed, None)
        if first_chunk_s is not None and not request.is_late:
            self._compare_with_limit(request, first_chunk_s)

    def abandon(self, number: int, now_s: float) -> None:
        """Remove a request that ended without an answer to count.

        It counts as late if it was abandoned after the limit of its kind, because
        callers abandon the slow answers first.
        """
        request = self.pending.pop(number, None)
        if request is not None and not request.is_late:
            self._record_if_late(request, now_s)

    def record_late_requests(self, now_s: float) -> None:
        """Count requests in flight as late once they exceed the limit of their kind.

        The answers of a slow version arrive late or never. If they were counted only
        on arrival, the evidence of the first seconds would consist of fast answers.
        """
        self._limits_s = self._late_limits_s()
        for request in self.pending.values():
            if not request.is_late:
                self._record_if_late(request, now_s)

    def _record_if_late(self, request: InFlightRequest, now_s: float) -> None:
        limit_s = self._limits_s.get(request.kind)
        if limit_s is not None and now_s - request.sent_s > limit_s:
            self._compare_with_limit(request, now_s - request.sent_s)

    def _compare_with_limit(self, request: InFlightRequest, took_s: float) -> None:
        limit_s = self._limits_s.get(request.kind)
        if limit_s is None:
            return
        request.is_late = took_s > limit_s
        self._cell(request.is_target, request.kind).add_judged(request.is_late)
        if request.is_target:
            cell = self._cell(True, ENDPOINT_PREFIX + request.endpoint)
            cell.add_judged(request.is_late)

    def _late_limits_s(self) -> dict[str, float]:
        """Return the time after which a request of each kind is late."""
        return {
            kind: max(LATE_RATIO * counts.typical_s, counts.typical_s + MIN_EXCESS_S)
            for kind, counts in self.cells(False).items()
            if counts.timed >= MIN_TIMED_ANSWERS
        }

    def _cell(self, is_target: bool, name: str) -> CellCounts:
        return self.local_counts.setdefault((is_target, name), CellCounts())

    #
    # Peers
    #

    def local_cells(self) -> tuple[VersionCell, ...]:
        """Return the counts of this gateway as messages to peers."""
        return tuple(
            VersionCell(
                service=self.order.service,
                revision=self.order.order_id,
                is_target=is_target,
                name=name,
                answers=counts.answers,
                failures=counts.failures,
                timed=counts.timed,
                log_time_sum=counts.log_time_sum,
                judged=counts.judged,
                late=counts.late,
            )
            for (is_target, name), counts in self.local_counts.items()
        )

    def apply_peer_counts(
        self, peer: str, view: RolloutView, cells: list[VersionCell], now_s: float
    ) -> None:
        """Replace the view and counts of one incarnation of a peer."""
        self.peer_counts[peer] = {
            (c.is_target, c.name): CellCounts(
                c.answers, c.failures, c.timed, c.log_time_sum, c.judged, c.late
            )
            for c in cells
        }
        self.peer_views[peer] = (view, now_s)
        self.began_s = min(self.began_s, now_s - view.age_s)

    def view(self, now_s: float) -> RolloutView:
        """Return the view of this gateway for its peers."""
        return RolloutView(
            service=self.order.service,
            revision=self.order.order_id,
            age_s=now_s - self.began_s,
            old_in_flight=self.old_in_flight,
            judged_bad=self.judged_bad,
        )

    #
    # Sums over gateways
    #

    def evidence(self, target_endpoint_count: int) -> Evidence:
        """Return all evidence since the order."""
        return Evidence(
            self.cells(True),
            self.cells(False),
            self._endpoint_cells(),
            target_endpoint_count,
        )

    def mark_cutover(self) -> None:
        """Save the counts at the cutover of all requests to the new version."""
        self.cutover_cells = self.cells(True)
        self.cutover_endpoint_cells = self._endpoint_cells()

    def evidence_since_cutover(self, target_endpoint_count: int) -> Evidence:
        """Return the evidence on the new version since the cutover.

        The good answers before it would otherwise hide a version that turns bad late
        or under full load.
        """
        return Evidence(
            since(self.cells(True), self.cutover_cells),
            self.cells(False),
            since(self._endpoint_cells(), self.cutover_endpoint_cells),
            target_endpoint_count,
        )

    def cells(self, is_target: bool) -> dict[str, CellCounts]:
        """Sum the counts by kind of request over this gateway and its peers."""
        return self._sum_cells(
            is_target, lambda name: not name.startswith(ENDPOINT_PREFIX)
        )

    def _endpoint_cells(self) -> dict[str, CellCounts]:
        return self._sum_cells(True, lambda name: name.startswith(ENDPOINT_PREFIX))

    def _sum_cells(
        self, is_target: bool, is_included: Callable[[str], bool]
    ) -> dict[str, CellCounts]:
        summed: dict[str, CellCounts] = {}
        for cells in (self.local_counts, *self.peer_counts.values()):
            for (cell_is_target, name), counts in cells.items():
                if cell_is_target is is_target and is_included(name):
                    summed.setdefault(name, CellCounts()).merge(counts)
        return summed
