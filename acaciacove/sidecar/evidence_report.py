"""What a sidecar tells the judging entries about the versions it serves."""

import asyncio

from attrs import define, field

from acaciacove.daemon.duty import duty_names
from acaciacove.daemon.evidence_cells import to_message_cells
from acaciacove.daemon.shared_state import SharedState
from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import parse_version_id
from acaciacove.messages.evidence import Evidence
from acaciacove.sidecar.ticket import Ticket
from acaciacove.state.rendezvous import rank_owners

REPORT_S = 2.0
CELLS_PER_REPORT = 10
MAX_REPORTERS = 50
REPORTER_RANK = 1_000_002
# The time to the first token at which an answer counts as half good; at twice this
# it counts as bad.
USUAL_FIRST_PIECE_S = 1.0
GOOD = 1.0
BAD = 0.0


@define(eq=False)
class EvidenceReport:
    """Counts successes and latencies under the sidecar's own name."""

    guard: RolloutGuard
    _news: int = field(default=0)

    def count(self, ticket: Ticket, fleet: FleetState, completed: bool) -> None:
        """Count one attempt that the endpoint has answered, or failed to."""
        version = parse_version_id(ticket.run.version)
        if version is None or version not in fleet.versions:
            return
        success = GOOD if completed else BAD
        self.guard.observe(fleet, version, EvidenceKind.SUCCESS, success)
        self._news += 1
        if completed and ticket.first_piece_s > 0:
            score = _latency_score(ticket.first_piece_s)
            self.guard.observe(fleet, version, EvidenceKind.LATENCY, score)

    def take_answer(self, answer: Evidence) -> None:
        """Follow the window of the judging entries."""
        self.guard.turn_to(answer.window)

    async def run(self, shared: SharedState) -> None:
        """Report to the judging entries while there is news and it is one's turn.

        However many endpoints serve a version, MAX_REPORTERS of them report on it,
        so that a judging entry hears no more in a large fleet.
        """
        while True:
            await asyncio.sleep(REPORT_S)
            if self._news == 0 or not _is_reporter(shared):
                continue
            self._news = 0
            cells = self.guard.export_delta(CELLS_PER_REPORT)
            message = Evidence(to_message_cells(cells), self.guard.window)
            for name in duty_names(shared.membership.usable()):
                shared.network.send_datagram(name, message)


def _is_reporter(shared: SharedState) -> bool:
    """Tell whether this sidecar is one of those that report."""
    mine = set(shared.me.versions)
    names = {
        instance.name
        for instance in shared.membership.usable()
        if instance.role is Role.ENDPOINT and mine.intersection(instance.versions)
    }
    names.add(shared.me.name)
    return shared.me.name in rank_owners(REPORTER_RANK, names)[:MAX_REPORTERS]


def _latency_score(first_piece_s: float) -> float:
    return max(BAD, GOOD - first_piece_s / (2 * USUAL_FIRST_PIECE_S))
