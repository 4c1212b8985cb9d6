"""One roll-out under way, with its evidence."""

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
# A request is late when its first piece takes this many times what is usual for its
# kind. Times of one kind differ by half, with prompts of unlike length.
LATE_RATIO = 2.5
# Times of the old version from which on its usual time is known.
MIN_TIMED_ANSWERS = 4
# What is late by less than this is not worth a roll-out, whatever its ratio.
MIN_EXCESS_S = 0.1


def kind_cell_name(route: str, model: str | None) -> str:
    """Name the cell of a kind of request."""
    return f"{route}{CELL_SEPARATOR}{model or ''}"


@define(eq=False)
class RolloutProgress:
    """Counts of this gateway and of its peers for one order.

    ``sent_target`` and ``sent_all`` are requests that this gateway has sent to
    the new version and to the whole service since the order; ``reserved_target``
    are on their way to a connection to the new version. ``cutover_cells`` holds what
    was counted of the new version when all requests moved to it.
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
    local: dict[tuple[bool, str], CellCounts] = field(factory=dict)
    peer_cells: dict[str, dict[tuple[bool, str], CellCounts]] = field(factory=dict)
    peer_views: dict[str, tuple[RolloutView, float]] = field(factory=dict)
    pending: dict[int, InFlightRequest] = field(factory=dict)
    cutover_cells: dict[str, CellCounts] = field(factory=dict)
    cutover_endpoint_cells: dict[str, CellCounts] = field(factory=dict)
    _limits_s: dict[str, float] = field(factory=dict)
    _last_number: int = 0

    #
    # Own answers
    #

    def record_sent(
        self, is_target: bool, kind: str, endpoint: str, now_s: float
    ) -> int:
        """Note a request that was sent; returns its number."""
        self._last_number += 1
        self.pending[self._last_number] = InFlightRequest(
            is_target, kind, endpoint, now_s
        )
        return self._last_number

    def record_answer(
        self, number: int, failed: bool, first_chunk_s: float | None
    ) -> None:
        """Count the first piece of an answer, or a failure."""
        pending = self.pending.pop(number, None)
        if pending is None:
            return
        self._cell(pending.is_target, pending.kind).add(failed, first_chunk_s)
        if pending.is_target:
            self._cell(True, ENDPOINT_PREFIX + pending.endpoint).add(failed, None)
        if first_chunk_s is not None and not pending.is_late:
            self._record_comparison(pending, first_chunk_s)

    def abandon(self, number: int, now_s: float) -> None:
        """Stop waiting: the request has ended without an answer to count.

        One that was given up after more than the usual time was late, also if nobody
        waited for it to the end: callers leave the slow answers first.
        """
        pending = self.pending.pop(number, None)
        if pending is not None and not pending.is_late:
            self._record_if_late(pending, now_s)

    def record_late_requests(self, now_s: float) -> None:
        """Count requests as late that already wait for longer than is usual.

        The answers of a slow version come late or not at all. Counted only when they
        come, the sound ones among them would be all that is known for seconds.
        """
        self._limits_s = self._late_limits_s()
        for pending in self.pending.values():
            if not pending.is_late:
                self._record_if_late(pending, now_s)

    def _record_if_late(self, pending: InFlightRequest, now_s: float) -> None:
        limit_s = self._limits_s.get(pending.kind)
        if limit_s is not None and now_s - pending.sent_s > limit_s:
            self._record_comparison(pending, now_s - pending.sent_s)

    def _record_comparison(self, pending: InFlightRequest, took_s: float) -> None:
        limit_s = self._limits_s.get(pending.kind)
        if limit_s is None:
            return
        pending.is_late = took_s > limit_s
        self._cell(pending.is_target, pending.kind).add_judged(pending.is_late)
        if pending.is_target:
            cell = self._cell(True, ENDPOINT_PREFIX + pending.endpoint)
            cell.add_judged(pending.is_late)

    def _late_limits_s(self) -> dict[str, float]:
        """Return from when on a request of each kind is late."""
        return {
            kind: max(LATE_RATIO * counts.typical_s, counts.typical_s + MIN_EXCESS_S)
            for kind, counts in self.cells(False).items()
            if counts.timed >= MIN_TIMED_ANSWERS
        }

    def _cell(self, is_target: bool, name: str) -> CellCounts:
        return self.local.setdefault((is_target, name), CellCounts())

    #
    # Peers
    #

    def local_cells(self) -> tuple[VersionCell, ...]:
        """Return the own counts as they are told to peers."""
        return tuple(
            VersionCell(
                service=self.order.service,
                revision=self.order.revision,
                is_target=is_target,
                name=name,
                answers=counts.answers,
                failures=counts.failures,
                timed=counts.timed,
                log_time_sum=counts.log_time_sum,
                judged=counts.judged,
                late=counts.late,
            )
            for (is_target, name), counts in self.local.items()
        )

    def apply_peer_counts(
        self, peer: str, view: RolloutView, cells: list[VersionCell], now_s: float
    ) -> None:
        """Replace what one life of a peer has told before."""
        self.peer_cells[peer] = {
            (c.is_target, c.name): CellCounts(
                c.answers, c.failures, c.timed, c.log_time_sum, c.judged, c.late
            )
            for c in cells
        }
        self.peer_views[peer] = (view, now_s)
        self.began_s = min(self.began_s, now_s - view.age_s)

    def view(self, now_s: float) -> RolloutView:
        """Return what peers are told."""
        return RolloutView(
            service=self.order.service,
            revision=self.order.revision,
            age_s=now_s - self.began_s,
            old_in_flight=self.old_in_flight,
            judged_bad=self.judged_bad,
        )

    #
    # Sums
    #

    def evidence(self, target_endpoint_count: int) -> Evidence:
        """Return all that is known; ``target_endpoint_count`` serve the new version."""
        return Evidence(
            self.cells(True),
            self.cells(False),
            self._endpoint_cells(),
            target_endpoint_count,
        )

    def mark_cutover(self) -> None:
        """Remember what was known when all requests moved to the new version."""
        self.cutover_cells = self.cells(True)
        self.cutover_endpoint_cells = self._endpoint_cells()

    def evidence_since_cutover(self, target_endpoint_count: int) -> Evidence:
        """Return what answers since then say of the new version.

        A version that turns bad late, or under all of the load, would hide behind the
        sound answers that it gave before.
        """
        return Evidence(
            since(self.cells(True), self.cutover_cells),
            self.cells(False),
            since(self._endpoint_cells(), self.cutover_endpoint_cells),
            target_endpoint_count,
        )

    def cells(self, is_target: bool) -> dict[str, CellCounts]:
        """Sum the kinds of request over this gateway and its peers."""
        return self._sum_cells(
            is_target, lambda name: not name.startswith(ENDPOINT_PREFIX)
        )

    def _endpoint_cells(self) -> dict[str, CellCounts]:
        return self._sum_cells(True, lambda name: name.startswith(ENDPOINT_PREFIX))

    def _sum_cells(
        self, is_target: bool, wanted: Callable[[str], bool]
    ) -> dict[str, CellCounts]:
        summed: dict[str, CellCounts] = {}
        for cells in (self.local, *self.peer_cells.values()):
            for (cell_is_target, name), counts in cells.items():
                if cell_is_target is is_target and wanted(name):
                    summed.setdefault(name, CellCounts()).merge(counts)
        return summed
