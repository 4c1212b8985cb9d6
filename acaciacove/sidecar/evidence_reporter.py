"""Reports evidence on the served versions to the entries that decide roll-outs."""

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

POLL_INTERVAL_S = 1.0
MIN_REPORT_INTERVAL_S = 2.0
CELLS_PER_REPORT = 10
REPORT_BYTES = 1_000.0
REPORTERS_PER_VERSION = 4
# Bound on the reports that one deciding entry receives from all sidecars together.
MAX_RECEIVED_BYTES_PER_S = 1_500.0
# Time to the first token that scores half; twice this time scores 0.
HALF_SCORE_FIRST_CHUNK_S = 1.0
BEST_SCORE = 1.0
WORST_SCORE = 0.0


@define(eq=False)
class EvidenceReporter:
    """Counts successes and latencies, attributed to this sidecar."""

    guard: RolloutGuard
    _has_unreported: bool = field(default=False)
    _is_urgent: bool = field(default=False)

    def count(self, ticket: Ticket, fleet: FleetState, completed: bool) -> None:
        """Count one attempt that the endpoint answered or failed to answer."""
        version = parse_version_id(ticket.run.version)
        if version is None or version not in fleet.versions:
            return
        success = BEST_SCORE if completed else WORST_SCORE
        self.guard.observe(fleet, version, EvidenceKind.SUCCESS, success)
        self._has_unreported = True
        self._is_urgent |= not completed
        if completed and ticket.first_chunk_s > 0:
            score = _latency_score(ticket.first_chunk_s)
            self.guard.observe(fleet, version, EvidenceKind.LATENCY, score)

    def apply_answer(self, answer: Evidence) -> None:
        """Advance to the evidence window of the deciding entries."""
        self.guard.turn_to(answer.window)

    async def run(
        self, shared: SharedState, served: Callable[[], frozenset[VersionId]]
    ) -> None:
        """Report unreported counts to the deciding entries, if this is a reporter.

        Only ``REPORTERS_PER_VERSION`` endpoints report on a version, and the interval
        grows with the number of versions. A deciding entry thus receives no more in
        a large fleet. Failures are reported at the next poll, since the quarantine
        that ends them depends on the report.
        """
        loop = asyncio.get_running_loop()
        next_report_s = 0.0
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            is_due = self._is_urgent or loop.time() >= next_report_s
            if not (self._has_unreported and is_due and _is_reporter(shared, served())):
                continue
            next_report_s = loop.time() + _report_interval_s(
                len(shared.fleet_store.state.versions)
            )
            self._has_unreported = self._is_urgent = False
            cells = self.guard.export_delta(CELLS_PER_REPORT)
            message = Evidence(to_message_cells(cells), self.guard.window)
            for name in evaluator_names(shared.membership.usable()):
                shared.network.send_datagram(name, message)


def _report_interval_s(versions: int) -> float:
    """Return the interval that keeps all reporters within the byte rate."""
    bytes_per_round = versions * REPORTERS_PER_VERSION * REPORT_BYTES
    return max(MIN_REPORT_INTERVAL_S, bytes_per_round / MAX_RECEIVED_BYTES_PER_S)


def _is_reporter(shared: SharedState, served: frozenset[VersionId]) -> bool:
    """Return whether this sidecar is a reporter of any version that it serves.

    The ranking is the one that assigns versions under roll-out to endpoints. The
    first holders of a new version are therefore also its reporters.
    """
    fleet = shared.fleet_store.state
    endpoints = [i for i in shared.membership.usable() if i.role is Role.ENDPOINT]
    for version in served & fleet.versions.keys():
        listed_version = _listed_predecessor(version, fleet, endpoints)
        candidates = {e.name for e in endpoints if listed_version in e.versions}
        candidates.add(shared.local_instance.name)
        ranked = rank_owners(partition_of(str(version), HASH_PARTITIONS), candidates)
        if shared.local_instance.name in ranked[:REPORTERS_PER_VERSION]:
            return True
    return False


def _listed_predecessor(
    version: VersionId, fleet: FleetState, endpoints: list[Instance]
) -> VersionId:
    """Return the version or predecessor under which its endpoints are listed."""
    for _ in fleet.versions:
        version_spec = fleet.versions.get(version)
        if any(version in e.versions for e in endpoints):
            return version
        if version_spec is None or version_spec.replaces is None:
            return version
        version = version_spec.replaces
    return version


def _latency_score(first_chunk_s: float) -> float:
    return max(WORST_SCORE, BEST_SCORE - first_chunk_s / (2 * HALF_SCORE_FIRST_CHUNK_S))
