"""Exposure of versions under roll-out, and quarantine of bad ones."""

from math import log

from attrs import define, field

from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.evidence_test import (
    BUCKETS,
    evidence_above,
    evidence_below,
    score_bucket,
)
from acaciacove.decisions.guard_action import GuardAction
from acaciacove.decisions.guard_settings import GuardSettings
from acaciacove.decisions.guard_verdict import GuardVerdict
from acaciacove.decisions.shared_cell import CellName, SharedCell
from acaciacove.decisions.shared_counts import DEFAULT_EXPORT, SharedCounts
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

FULL_SHARE = 1.0
_KINDS = (EvidenceKind.RATING, EvidenceKind.SUCCESS, EvidenceKind.LATENCY)


@define
class RolloutGuard:
    """Evidence on each version, pooled over entries, and what follows from it.

    The verdict is a function of counts alone, which only grow and merge in any
    order: an entry that restarts, or a roll-out whose driver vanished, resumes
    where the evidence stands, and no process has to finish anything.
    """

    origin: str
    settings: GuardSettings = GuardSettings()
    _counts: SharedCounts = field(init=False)
    _shares: dict[VersionId, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Count under the own name."""
        self._counts = SharedCounts(self.origin)

    def observe(self, version: VersionId, kind: EvidenceKind, score: float) -> None:
        """Count one score of a version, under roll-out or in full service."""
        name = (kind, str(version), str(score_bucket(score)))
        self._counts.add(name, score)

    def shares(self, fleet: FleetState) -> dict[VersionId, float]:
        """Return the exposure of every version under roll-out."""
        return {
            v.id: self._shares.get(v.id, v.first_share)
            for v in fleet.versions.values()
            if v.replaces is not None and v.replaces in fleet.versions
        }

    def verdict(self, version: Version) -> GuardVerdict:
        """Weigh all evidence on a version against the one it replaces."""
        share = self._shares.get(version.id, version.first_share)
        if version.replaces is None:
            return GuardVerdict(GuardAction.KEEP, FULL_SHARE)
        for kind in _KINDS:
            if self._is_worse(version.id, version.replaces, kind):
                return GuardVerdict(
                    GuardAction.QUARANTINE, 0.0, f"{kind} below {version.replaces}"
                )
        earned = self._earned_share(version, version.replaces)
        if earned <= share:
            return GuardVerdict(GuardAction.KEEP, share)
        self._shares[version.id] = earned
        return GuardVerdict(GuardAction.WIDEN, earned, "as good as the replaced")

    def export_delta(self, limit: int = DEFAULT_EXPORT) -> tuple[SharedCell, ...]:
        """Take up to ``limit`` counters to send to a peer."""
        return self._counts.export_delta(limit)

    def merge(self, cells: tuple[SharedCell, ...]) -> None:
        """Take in a peer's counters."""
        self._counts.merge(cells)

    def _is_worse(
        self, version: VersionId, replaced: VersionId, kind: EvidenceKind
    ) -> bool:
        reference = self._reference_mean(replaced, kind)
        if reference is None:
            return False
        floor = reference - self.settings.tolerance
        evidence = evidence_below(self._histogram(version, kind), floor)
        return evidence >= log(1.0 / self.settings.false_alarm)

    def _earned_share(self, version: Version, replaced: VersionId) -> float:
        """Return the share that the evidence of being no worse has earned."""
        reference = self._reference_mean(replaced, EvidenceKind.RATING)
        counts = self._histogram(version.id, EvidenceKind.RATING)
        if reference is None:
            return version.first_share
        floor = reference - self.settings.unacceptable
        odds = evidence_above(counts, floor) / log(self.settings.widen_odds)
        by_count = sum(counts) / self.settings.min_stage_scores
        reached = min(len(self.settings.stages), int(min(odds, by_count)))
        return self.settings.stages[reached - 1] if reached else version.first_share

    def _reference_mean(self, version: VersionId, kind: EvidenceKind) -> float | None:
        counts = self._histogram(version, kind)
        count = sum(counts)
        if count < self.settings.min_reference_scores:
            return None
        return sum(n * b / BUCKETS for b, n in enumerate(counts)) / count

    def _histogram(self, version: VersionId, kind: EvidenceKind) -> list[float]:
        return [
            self._counts.tally(_name(kind, version, bucket)).count
            for bucket in range(BUCKETS + 1)
        ]


def _name(kind: EvidenceKind, version: VersionId, bucket: int) -> CellName:
    return (kind, str(version), str(bucket))
