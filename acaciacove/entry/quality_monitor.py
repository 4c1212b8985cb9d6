"""Counts ratings and evidence, on the entries that are responsible for it."""

from attrs import define, field

from acaciacove.adapters.rating import Rating
from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.guard_action import GuardAction
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.decisions.shared_cell import SharedCell
from acaciacove.entry.estimates_record import EstimatesRecord, encode_estimates
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.quarantine_record import QuarantineRecord

# One origin for all readers of ratings, because their counts are the same.
RATINGS_ORIGIN = "ratings"
MAX_CELLS = 2048
MAX_PUBLISH_BYTES_PER_S = 500.0
MIN_PUBLISH_INTERVAL_S = 2.0

RolloutDecision = QuarantineRecord | ExposureRecord


@define(eq=False)
class QualityMonitor:
    """Counts ratings, publishes the counts and decides on the versions in use."""

    name: str
    quality: QualityEstimates = field(factory=lambda: QualityEstimates(RATINGS_ORIGIN))
    guard: RolloutGuard = field(factory=lambda: RolloutGuard(RATINGS_ORIGIN))
    sequence: int = 0
    published_sequence: int = 0
    next_publish_s: float = 0.0
    decided: set[tuple[VersionId, int, float]] = field(factory=set)

    def apply_ratings(self, ratings: list[Rating], fleet: FleetState) -> None:
        """Count the ratings that have not been counted yet."""
        for rating in ratings:
            if rating.sequence <= self.sequence:
                continue
            self.quality.record_rating(
                rating.version, rating.request_class, rating.score, rating.sequence
            )
            self.guard.observe(
                fleet,
                rating.version,
                EvidenceKind.RATING,
                rating.score,
                rating.sequence,
            )
            self.sequence = rating.sequence

    def apply_evidence(self, cells: tuple[SharedCell, ...]) -> None:
        """Merge the errors and latencies that a sidecar has reported."""
        self.guard.merge(cells)

    def restore(self, record: EstimatesRecord) -> None:
        """Continue from estimates that another reader has published."""
        if record.sequence <= self.sequence:
            return
        self.quality.merge(record.quality)
        self.guard.merge(record.guard)
        self.sequence = record.sequence
        self.published_sequence = record.sequence

    def due_estimates(self, now_s: float) -> bytes | None:
        """Return the record to publish now, at a bounded byte rate for readers."""
        if self.sequence == self.published_sequence or now_s < self.next_publish_s:
            return None
        rated = tuple(
            cell
            for cell in self.guard.export_delta(MAX_CELLS)
            if cell.origin == RATINGS_ORIGIN
        )
        record = EstimatesRecord(
            self.sequence, self.quality.export_delta(MAX_CELLS), rated
        )
        payload = encode_estimates(record)
        self.published_sequence = self.sequence
        interval_s = len(payload) / MAX_PUBLISH_BYTES_PER_S
        self.next_publish_s = now_s + max(MIN_PUBLISH_INTERVAL_S, interval_s)
        return payload

    def new_decisions(self, fleet: FleetState) -> list[RolloutDecision]:
        """Decide on every version in use; each decision is returned once."""
        found: list[RolloutDecision] = []
        for version in fleet.versions.values():
            if not fleet.is_usable(version.id):
                continue
            decision = self._decide(version, fleet)
            if decision is not None:
                found.append(decision)
        return found

    def _decide(self, version: Version, fleet: FleetState) -> RolloutDecision | None:
        verdict = self.guard.verdict(fleet, version)
        declared_at = fleet.declared_at.get(version.id, -1)
        decision_key = (version.id, declared_at, verdict.share)
        if verdict.action is GuardAction.KEEP or decision_key in self.decided:
            return None
        self.decided.add(decision_key)
        if verdict.action is GuardAction.QUARANTINE:
            return QuarantineRecord(
                version.id, verdict.reason, self.name, based_on=fleet.revision
            )
        return ExposureRecord(
            version.id, verdict.share, self.name, based_on=fleet.revision
        )
