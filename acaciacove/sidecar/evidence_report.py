"""What a sidecar tells the judging entries about the versions it serves."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from acaciacove.daemon.evaluators import evaluator_names
from acaciacove.daemon.evidence_cells import to_message_cells
from acaciacove.daemon.shared_state import SharedState
from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.decisions.version_holders import HASH_PARTITIONS
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.messages.evidence import Evidence
from acaciacove.sidecar.ticket import Ticket
from acaciacove.state.rendezvous import partition_of, rank_owners

LOOK_S = 1.0
LEAST_PAUSE_S = 2.0
CELLS_PER_REPORT = 10
REPORT_BYTES = 1_000.0
REPORTERS_PER_VERSION = 4
# What a judging entry is willing to hear of all sidecars together.
HEARD_BYTES_PER_S = 1_500.0
# The time to the first token at which an answer counts as half good; at twice this
# it counts as bad.
USUAL_FIRST_PIECE_S = 1.0
GOOD = 1.0
BAD = 0.0


@define(eq=False)
class EvidenceReport:
    """Counts successes and latencies under the sidecar's own name."""

    guard: RolloutGuard
    _has_news: bool = field(default=False)
    _is_urgent: bool = field(default=False)

    def count(self, ticket: Ticket, fleet: FleetState, completed: bool) -> None:
        """Count one attempt that the endpoint has answered, or failed to."""
        version = parse_version_id(ticket.run.version)
        if version is None or version not in fleet.versions:
            return
        success = GOOD if completed else BAD
        self.guard.observe(fleet, version, EvidenceKind.SUCCESS, success)
        self._has_news = True
        self._is_urgent |= not completed
        if completed and ticket.first_piece_s > 0:
            score = _latency_score(ticket.first_piece_s)
            self.guard.observe(fleet, version, EvidenceKind.LATENCY, score)

    def take_answer(self, answer: Evidence) -> None:
        """Follow the window of the judging entries."""
        self.guard.turn_to(answer.window)

    async def run(
        self, shared: SharedState, served: Callable[[], frozenset[VersionId]]
    ) -> None:
        """Report to the judging entries while there is news and it is one's turn.

        However many endpoints serve a version, a few of them report on it, and the
        less often the more versions there are, so that a judging entry hears no more
        in a large fleet. Failures are told at once: a quarantine ends them.
        """
        loop = asyncio.get_running_loop()
        next_s = 0.0
        while True:
            await asyncio.sleep(LOOK_S)
            is_due = self._is_urgent or loop.time() >= next_s
            if not (self._has_news and is_due and _is_reporter(shared, served())):
                continue
            next_s = loop.time() + _pause_s(len(shared.holder.state.versions))
            self._has_news = self._is_urgent = False
            cells = self.guard.export_delta(CELLS_PER_REPORT)
            message = Evidence(to_message_cells(cells), self.guard.window)
            for name in evaluator_names(shared.membership.usable()):
                shared.network.send_datagram(name, message)


def _pause_s(versions: int) -> float:
    """Return the pause that keeps all reporters together to what is heard."""
    bytes_a_round = versions * REPORTERS_PER_VERSION * REPORT_BYTES
    return max(LEAST_PAUSE_S, bytes_a_round / HEARD_BYTES_PER_S)


def _is_reporter(shared: SharedState, served: frozenset[VersionId]) -> bool:
    """Tell whether this sidecar is one of the few that report on a version.

    The rank is that by which versions under roll-out are loaded, so that the first
    holders of a new version are also those that report on it.
    """
    fleet = shared.holder.state
    endpoints = [i for i in shared.membership.usable() if i.role is Role.ENDPOINT]
    for version in served & fleet.versions.keys():
        listed = _listed(version, fleet, endpoints)
        names = {e.name for e in endpoints if listed in e.versions}
        names.add(shared.local_instance.name)
        ranked = rank_owners(partition_of(str(version), HASH_PARTITIONS), names)
        if shared.local_instance.name in ranked[:REPORTERS_PER_VERSION]:
            return True
    return False


def _listed(
    version: VersionId, fleet: FleetState, endpoints: list[Instance]
) -> VersionId:
    """Return the predecessor under which the platform lists a version's endpoints."""
    for _ in fleet.versions:
        known = fleet.versions.get(version)
        if any(version in e.versions for e in endpoints):
            return version
        if known is None or known.replaces is None:
            return version
        version = known.replaces
    return version


def _latency_score(first_piece_s: float) -> float:
    return max(BAD, GOOD - first_piece_s / (2 * USUAL_FIRST_PIECE_S))
