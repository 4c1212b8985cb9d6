"""One roll-out under way, with its evidence."""

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
# A request is late when its first piece takes this many times what is usual for its
# kind. Times of one kind differ by half, with prompts of unlike length.
LATE_RATIO = 2.5
# Times of the old version from which on its usual time is known.
MIN_TIMED = 4
# What is late by less than this is not worth a roll-out, whatever its ratio.
LEAST_LATE_S = 0.1


def kind_cell(route: str, model: str | None) -> str:
    """Name the cell of a kind of request."""
    return f"{route}{CELL_SEPARATOR}{model or ''}"


@define(eq=False)
class RolloutProgress:
    """Counts of this gateway and of its peers for one order.

    ``sent_target`` and ``sent_all`` are requests that this gateway has sent to
    the new version and to the whole service since the order; ``reserved_target``
    are on their way to a connection to the new version. ``moved`` holds what was
    counted of the new version when all requests moved to it.
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
    # Own answers
    #

    def await_answer(
        self, is_target: bool, kind: str, endpoint: str, now_s: float
    ) -> int:
        """Note a request that was sent; returns its number."""
        self._next_awaited += 1
        self.awaited[self._next_awaited] = AwaitedAnswer(
            is_target, kind, endpoint, now_s
        )
        return self._next_awaited

    def take_answer(
        self, number: int, failed: bool, first_piece_s: float | None
    ) -> None:
        """Count the first piece of an answer, or a failure."""
        awaited = self.awaited.pop(number, None)
        if awaited is None:
            return
        self._cell(awaited.is_target, awaited.kind).add(failed, first_piece_s)
        if awaited.is_target:
            self._cell(True, ENDPOINT_PREFIX + awaited.endpoint).add(failed, None)
        if first_piece_s is not None and not awaited.is_late:
            self._judge_time(awaited, first_piece_s)

    def forget(self, number: int, now_s: float) -> None:
        """Stop waiting: the request has ended without an answer to count.

        One that was given up after more than the usual time was late, also if nobody
        waited for it to the end: callers leave the slow answers first.
        """
        awaited = self.awaited.pop(number, None)
        if awaited is not None and not awaited.is_late:
            self._note_if_late(awaited, now_s)

    def note_overdue(self, now_s: float) -> None:
        """Count requests as late that already wait for longer than is usual.

        The answers of a slow version come late or not at all. Counted only when they
        come, the sound ones among them would be all that is known for seconds.
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
        """Return from when on a request of each kind is late."""
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
            for (is_target, name), counts in self.own.items()
        )

    def take_peer(
        self, peer: str, view: RolloutView, cells: list[VersionCell], now_s: float
    ) -> None:
        """Replace what one life of a peer has told before."""
        self.peers[peer] = {
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

    def evidence(self, machines: int) -> Evidence:
        """Return all that is known; ``machines`` serve the new version."""
        return Evidence(
            self.cells(True), self.cells(False), self._endpoint_cells(), machines
        )

    def mark_moved(self) -> None:
        """Remember what was known when all requests moved to the new version."""
        self.moved = self.cells(True)
        self.moved_endpoints = self._endpoint_cells()

    def evidence_since_moved(self, machines: int) -> Evidence:
        """Return what answers since then say of the new version.

        A version that turns bad late, or under all of the load, would hide behind the
        sound answers that it gave before.
        """
        return Evidence(
            since(self.cells(True), self.moved),
            self.cells(False),
            since(self._endpoint_cells(), self.moved_endpoints),
            machines,
        )

    def cells(self, is_target: bool) -> dict[str, CellCounts]:
        """Sum the kinds of request over this gateway and its peers."""
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
