"""Exposure of versions under roll-out, and quarantine of bad ones."""

from math import log

from attrs import define, field

from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.exposures import FULL_SHARE, exposure
from acaciacove.decisions.guard_action import GuardAction
from acaciacove.decisions.guard_settings import GuardSettings
from acaciacove.decisions.guard_verdict import GuardVerdict
from acaciacove.decisions.sequential_test import (
    BUCKETS,
    evidence_above,
    evidence_below,
    score_bucket,
)
from acaciacove.decisions.shared_cell import CellName, SharedCell
from acaciacove.decisions.shared_counts import DEFAULT_EXPORT_LIMIT, SharedCounts
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

BASELINE = "baseline"
ALL_BUCKETS = "all"
_NO_SCORES = [0.0] * (BUCKETS + 1)
_KINDS = (EvidenceKind.RATING, EvidenceKind.SUCCESS, EvidenceKind.LATENCY)


@define
class RolloutGuard:
    """Evidence on each version, pooled over entries, and what follows from it.

    The verdict is a function of counts alone, which only grow and merge in any
    order, and of the shares in force: an entry that restarts, or a roll-out whose
    judge vanished, goes on where evidence and release stream stand. Counts are of
    one declaration of a version; a release note that declares it anew starts over.
    """

    origin: str
    settings: GuardSettings = GuardSettings()
    window: int = 0
    _counts: SharedCounts = field(init=False)
    _histograms: dict[CellName, list[float]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Count under the own name."""
        self._counts = SharedCounts(self.origin)

    def observe(
        self,
        fleet: FleetState,
        version: VersionId,
        kind: EvidenceKind,
        score: float,
        sequence: int = 0,
    ) -> None:
        """Count one score (0 to 1) of a version.

        ``sequence`` is a rating's sequence number. It sets the window, so that
        entries agree on windows without agreeing on a clock.
        """
        self.turn_to(sequence // self.settings.window_ratings)
        bucket = str(score_bucket(score))
        self._count(_cell_name(str(self.window), fleet, version, kind, bucket))
        total = _cell_name(BASELINE, fleet, version, kind, ALL_BUCKETS)
        if self._counts.tally(total).count < self.settings.baseline_scores:
            self._counts.add(total)
            self._count(_cell_name(BASELINE, fleet, version, kind, bucket))

    def verdict(self, fleet: FleetState, version: Version) -> GuardVerdict:
        """Weigh all evidence on a version; the caller records what is not KEEP.

        Until it has the full share, a version is compared with the one it replaces,
        then with its own early scores, so that a slow decline is seen as well.
        """
        share = exposure(fleet, version)
        reference = version.id
        if version.replaces is not None and share < FULL_SHARE:
            reference = version.replaces
        for kind in _KINDS:
            if self._is_worse(fleet, version.id, reference, kind):
                reason = f"{kind} below {reference}"
                return GuardVerdict(GuardAction.QUARANTINE, 0.0, reason)
        earned = self._earned_share(fleet, version, reference, share)
        if earned <= share:
            return GuardVerdict(GuardAction.KEEP, share)
        return GuardVerdict(GuardAction.WIDEN, earned, f"as good as {reference}")

    def export_delta(self, limit: int = DEFAULT_EXPORT_LIMIT) -> tuple[SharedCell, ...]:
        """Take up to ``limit`` counters to send to a peer."""
        return self._counts.export_delta(limit)

    def merge(self, cells: tuple[SharedCell, ...]) -> None:
        """Take in a peer's counters."""
        windows = [int(c.name[0]) for c in cells if c.name[0] != BASELINE]
        self.turn_to(max(windows, default=self.window))
        oldest = self.window - self.settings.kept_windows
        wanted = [c for c in cells if c.name[0] == BASELINE or int(c.name[0]) > oldest]
        for name, grown in self._counts.merge(tuple(wanted)):
            self._add_to_histogram(name, grown)

    def _count(self, name: CellName) -> None:
        self._counts.add(name)
        self._add_to_histogram(name, 1.0)

    def _add_to_histogram(self, name: CellName, count: float) -> None:
        """Keep a histogram per window, version and kind beside the counters."""
        if name[-1] == ALL_BUCKETS:
            return
        row = self._histograms.setdefault(name[:-1], [0.0] * (BUCKETS + 1))
        row[int(name[-1])] += count

    def turn_to(self, window: int) -> None:
        """Go on to a later window, and forget those that are no longer kept."""
        if window <= self.window:
            return
        self.window = window
        oldest = window - self.settings.kept_windows + 1
        past = {
            name
            for name in self._counts.names()
            if name[0] != BASELINE and int(name[0]) < oldest
        }
        self._counts.remove(past)
        for name in past:
            self._histograms.pop(name[:-1], None)

    def _is_worse(
        self,
        fleet: FleetState,
        version: VersionId,
        reference: VersionId,
        kind: EvidenceKind,
    ) -> bool:
        """Test the scores since the start of each kept window."""
        mean = self._reference_mean(fleet, reference, kind, version != reference)
        if mean is None:
            return False
        needed = log(1.0 / self.settings.false_alarm)
        since = [0.0] * (BUCKETS + 1)
        for window in self._retained_windows():
            counts = self._histogram(str(window), fleet, version, kind)
            if not any(counts):
                continue
            since = [a + b for a, b in zip(since, counts, strict=True)]
            if evidence_below(since, mean - self.settings.tolerance) >= needed:
                return True
        return False

    def _earned_share(
        self, fleet: FleetState, version: Version, reference: VersionId, share: float
    ) -> float:
        """Return the share that the evidence of being no worse has earned."""
        mean = self._reference_mean(fleet, reference, EvidenceKind.RATING, True)
        if mean is None or share >= FULL_SHARE:
            return share
        counts = self._histogram(BASELINE, fleet, version.id, EvidenceKind.RATING)
        floor = mean - self.settings.unacceptable
        by_odds = evidence_above(counts, floor) / log(self.settings.widen_odds)
        by_count = sum(counts) / self.settings.stage_ratings
        reached = min(len(self.settings.stages), int(min(by_odds, by_count)))
        return self.settings.stages[reached - 1] if reached > 0 else share

    def _reference_mean(
        self,
        fleet: FleetState,
        version: VersionId,
        kind: EvidenceKind,
        is_recent: bool,
    ) -> float | None:
        """Return the mean to compare with; None while too little is known.

        A version that still serves is taken as it is ``is_recent``, under the same
        requests as the new one; compared with itself, as it was at first.
        """
        counts = self._recent_histogram(fleet, version, kind) if is_recent else []
        if sum(counts) < self.settings.min_reference_scores:
            counts = self._histogram(BASELINE, fleet, version, kind)
        count = sum(counts)
        if count < self.settings.min_reference_scores:
            return None
        return sum(n * b / BUCKETS for b, n in enumerate(counts)) / count

    def _recent_histogram(
        self, fleet: FleetState, version: VersionId, kind: EvidenceKind
    ) -> list[float]:
        """Sum the kept windows."""
        since = [0.0] * (BUCKETS + 1)
        for window in self._retained_windows():
            counts = self._histogram(str(window), fleet, version, kind)
            since = [a + b for a, b in zip(since, counts, strict=True)]
        return since

    def _retained_windows(self) -> range:
        """Return the kept windows, newest first."""
        oldest = max(-1, self.window - self.settings.kept_windows)
        return range(self.window, oldest, -1)

    def _histogram(
        self, window: str, fleet: FleetState, version: VersionId, kind: EvidenceKind
    ) -> list[float]:
        prefix = _cell_name(window, fleet, version, kind, ALL_BUCKETS)[:-1]
        return self._histograms.get(prefix, _NO_SCORES)


def _cell_name(
    window: str, fleet: FleetState, version: VersionId, kind: EvidenceKind, bucket: str
) -> CellName:
    declared = str(fleet.declared_at.get(version, -1))
    return (window, str(version), declared, kind, bucket)
