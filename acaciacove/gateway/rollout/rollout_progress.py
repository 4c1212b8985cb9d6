"""State and evidence of one roll-out in progress."""

from collections.abc import Callable

from attrs import define, field

from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.rollout.awaited_answer import AwaitedAnswer
from acaciacove.gateway.rollout.cell_counts import CellCounts
from acaciacove.gateway.rollout.evidence import Evidence, since
from acaciacove.gateway.rollout.judge import CELL_SEPARATOR
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.messages.rollout_view import RolloutView
from acaciacove.messages.version_cell import VersionCell

ENDPOINT_PREFIX = "endpoint/"
# A request is late when its first chunk takes this multiple of the baseline of its
# kind. Within a kind, times vary by half with the length of the prompt.
LATE_RATIO = 2.5
# Measured answers of the old version that are needed for a baseline.
MIN_TIMED = 4
# A smaller delay never counts as late, whatever the ratio.
LEAST_LATE_S = 0.1


def kind_cell(route: str, model: str | None) -> str:
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
    own: dict[tuple[bool, str], CellCounts] = field(factory=dict)
    peers: dict[str, dict[tuple[bool, str], CellCounts]] = field(factory=dict)
    peer_views: dict[str, tuple[RolloutView, float]] = field(factory=dict)
    awaited: dict[int, AwaitedAnswer] = field(factory=dict)
    moved: dict[str, CellCounts] = field(factory=dict)
    moved_endpoints: dict[str, CellCounts] = field(factory=dict)
    _limits_s: dict[str, float] = field(factory=dict)
    _next_awaited: int = 0

    #
    # Requests of this gateway
    #

    def await_answer(
        self, is_target: bool, kind: str, endpoint: str, now_s: float
    ) -> int:
        """Record a request that was sent; returns its number."""
        self._next_awaited += 1
        self.awaited[self._next_awaited] = AwaitedAnswer(
            is_target, kind, endpoint, now_s
        )
        return self._next_awaited

    def take_answer(
        self, number: int, failed: bool, first_piece_s: float | None
    ) -> None:
        """Record the first chunk of an answer, or a failure."""
        awaited = self.awaited.pop(number, None)
        if awaited is None:
            return
        self._cell(awaited.is_target, awaited.kind).add(failed, first_piece_s)
        if awaited.is_target:
            self._cell(True, ENDPOINT_PREFIX + awaited.endpoint).add(failed, None)
        if first_piece_s is not None and not awaited.is_late:
            self._judge_time(awaited, first_piece_s)

    def forget(self, number: int, now_s: float) -> None:
        """Remove a request that ended without an answer to count.

        It counts as late if it was abandoned after the limit of its kind, because
        callers abandon the slow answers first.
        """
        awaited = self.awaited.pop(number, None)
        if awaited is not None and not awaited.is_late:
            self._note_if_late(awaited, now_s)

    def note_overdue(self, now_s: float) -> None:
        """Count requests in flight as late once they exceed the limit of their kind.

        The answers of a slow version arrive late or never. If they were counted only
        on arrival, the evidence of the first seconds would consist of fast answers.
        """
        self._limits_s = self._late_limits_s()
        for awaited in self.awaited.values():
            if not awaited.is_late:
                self._note_if_late(awaited, now_s)

    def _note_if_late(self, awaited: AwaitedAnswer, now_s: float) -> None:
        limit_s = self._limits_s.get(awaited.kind)
        if limit_s is not None and now_s - awaited.since_s > limit_s:
            self._judge_time(awaited, now_s - awaited.since_s)

    def _judge_time(self, awaited: AwaitedAnswer, took_s: float) -> None:
        limit_s = self._limits_s.get(awaited.kind)
        if limit_s is None:
            return
        awaited.is_late = took_s > limit_s
        self._cell(awaited.is_target, awaited.kind).add_judged(awaited.is_late)
        if awaited.is_target:
            cell = self._cell(True, ENDPOINT_PREFIX + awaited.endpoint)
            cell.add_judged(awaited.is_late)

    def _late_limits_s(self) -> dict[str, float]:
        """Return the time after which a request of each kind is late."""
        return {
            kind: max(LATE_RATIO * counts.typical_s, counts.typical_s + LEAST_LATE_S)
            for kind, counts in self.cells(False).items()
            if counts.timed >= MIN_TIMED
        }

    def _cell(self, is_target: bool, name: str) -> CellCounts:
        return self.own.setdefault((is_target, name), CellCounts())

    #
    # Peers
    #

    def own_cells(self) -> tuple[VersionCell, ...]:
        """Return the counts of this gateway as messages to peers."""
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
            for (is_target, name), counts in self.own.items()
        )

    def take_peer(
        self, peer: str, view: RolloutView, cells: list[VersionCell], now_s: float
    ) -> None:
        """Replace the view and counts of one incarnation of a peer."""
        self.peers[peer] = {
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
            revision=self.order.revision,
            age_s=now_s - self.began_s,
            old_in_flight=self.old_in_flight,
            judged_bad=self.judged_bad,
        )

    #
    # Sums over gateways
    #

    def evidence(self, machines: int) -> Evidence:
        """Return all evidence since the order."""
        return Evidence(
            self.cells(True), self.cells(False), self._endpoint_cells(), machines
        )

    def mark_moved(self) -> None:
        """Save the counts at the cutover of all requests to the new version."""
        self.moved = self.cells(True)
        self.moved_endpoints = self._endpoint_cells()

    def evidence_since_moved(self, machines: int) -> Evidence:
        """Return the evidence on the new version since the cutover.

        The good answers before it would otherwise hide a version that turns bad late
        or under full load.
        """
        return Evidence(
            since(self.cells(True), self.moved),
            self.cells(False),
            since(self._endpoint_cells(), self.moved_endpoints),
            machines,
        )

    def cells(self, is_target: bool) -> dict[str, CellCounts]:
        """Sum the counts by kind of request over this gateway and its peers."""
        return self._summed(
            is_target, lambda name: not name.startswith(ENDPOINT_PREFIX)
        )

    def _endpoint_cells(self) -> dict[str, CellCounts]:
        return self._summed(True, lambda name: name.startswith(ENDPOINT_PREFIX))

    def _summed(
        self, is_target: bool, wanted: Callable[[str], bool]
    ) -> dict[str, CellCounts]:
        summed: dict[str, CellCounts] = {}
        for cells in (self.own, *self.peers.values()):
            for (cell_is_target, name), counts in cells.items():
                if cell_is_target is is_target and wanted(name):
                    summed.setdefault(name, CellCounts()).merge(counts)
        return summed
