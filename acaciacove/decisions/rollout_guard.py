"""Sets the exposure of versions under roll-out and quarantines bad ones."""

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
    """Pools the evidence on each version over all entries and derives verdicts.

    A verdict depends only on the counts, which only grow and merge in any order, and
    on the shares in force. So a roll-out continues from the shared counts and the
    release stream when an entry restarts or fails. Counts belong to one declaration
    of a version: a release note that declares the version again starts with empty
    counts.
    """

    origin: str
    settings: GuardSettings = GuardSettings()
    window: int = 0
    _counts: SharedCounts = field(init=False)
    _histograms: dict[CellName, list[float]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the counters under the local origin."""
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

        ``sequence`` is the sequence number of a rating. It sets the window, so that
        entries agree on windows without synchronised clocks.
        """
        self.turn_to(sequence // self.settings.window_ratings)
        bucket = str(score_bucket(score))
        self._count(_cell_name(str(self.window), fleet, version, kind, bucket))
        total = _cell_name(BASELINE, fleet, version, kind, ALL_BUCKETS)
        if self._counts.tally(total).count < self.settings.baseline_scores:
            self._counts.add(total)
            self._count(_cell_name(BASELINE, fleet, version, kind, bucket))

    def verdict(self, fleet: FleetState, version: Version) -> GuardVerdict:
        """Evaluate all evidence on a version; the caller records all but KEEP.

        Until it has the full share, a version is compared with the one it replaces.
        After that it is compared with its own early scores, which also detects a
        slow decline.
        """
        share = exposure(fleet, version)
        reference = version.id
        if version.replaces is not None and share < FULL_SHARE:
            reference = version.replaces
        for kind in _KINDS:
            if self._is_worse(fleet, version.id, reference, kind):
                reason = f"{kind} below {reference}"
                return GuardVerdict(GuardAction.QUARANTINE, 0.0, reason)
        justified = self._justified_share(fleet, version, reference, share)
        if justified <= share:
            return GuardVerdict(GuardAction.KEEP, share)
        return GuardVerdict(GuardAction.WIDEN, justified, f"as good as {reference}")

    def export_delta(self, limit: int = DEFAULT_EXPORT_LIMIT) -> tuple[SharedCell, ...]:
        """Return up to ``limit`` counters to send to a peer, and mark them as sent."""
        return self._counts.export_delta(limit)

    def merge(self, cells: tuple[SharedCell, ...]) -> None:
        """Merge the counters of a peer."""
        windows = [int(c.name[0]) for c in cells if c.name[0] != BASELINE]
        self.turn_to(max(windows, default=self.window))
        oldest = self.window - self.settings.kept_windows
        retained = [
            c for c in cells if c.name[0] == BASELINE or int(c.name[0]) > oldest
        ]
        for name, increase in self._counts.merge(tuple(retained)):
            self._add_to_histogram(name, increase)

    def _count(self, name: CellName) -> None:
        self._counts.add(name)
        self._add_to_histogram(name, 1.0)

    def _add_to_histogram(self, name: CellName, count: float) -> None:
        """Update the histogram of the window, version and kind of a counter."""
        if name[-1] == ALL_BUCKETS:
            return
        histogram = self._histograms.setdefault(name[:-1], [0.0] * (BUCKETS + 1))
        histogram[int(name[-1])] += count

    def turn_to(self, window: int) -> None:
        """Advance to a later window, and remove those no longer retained."""
        if window <= self.window:
            return
        self.window = window
        oldest = window - self.settings.kept_windows + 1
        expired = {
            name
            for name in self._counts.names()
            if name[0] != BASELINE and int(name[0]) < oldest
        }
        self._counts.remove(expired)
        for name in expired:
            self._histograms.pop(name[:-1], None)

    def _is_worse(
        self,
        fleet: FleetState,
        version: VersionId,
        reference: VersionId,
        kind: EvidenceKind,
    ) -> bool:
        """Test the scores since the start of each retained window."""
        mean = self._reference_mean(fleet, reference, kind, version != reference)
        if mean is None:
            return False
        needed = log(1.0 / self.settings.false_alarm)
        cumulative = [0.0] * (BUCKETS + 1)
        for window in self._retained_windows():
            counts = self._histogram(str(window), fleet, version, kind)
            if not any(counts):
                continue
            cumulative = [a + b for a, b in zip(cumulative, counts, strict=True)]
            if evidence_below(cumulative, mean - self.settings.tolerance) >= needed:
                return True
        return False

    def _justified_share(
        self, fleet: FleetState, version: Version, reference: VersionId, share: float
    ) -> float:
        """Return the share that the evidence of being no worse justifies."""
        mean = self._reference_mean(fleet, reference, EvidenceKind.RATING, True)
        if mean is None or share >= FULL_SHARE:
            return share
        counts = self._histogram(BASELINE, fleet, version.id, EvidenceKind.RATING)
        floor = mean - self.settings.unacceptable
        by_odds = evidence_above(counts, floor) / log(self.settings.widen_odds)
        by_count = sum(counts) / self.settings.stage_ratings
        stage = min(len(self.settings.stages), int(min(by_odds, by_count)))
        return self.settings.stages[stage - 1] if stage > 0 else share

    def _reference_mean(
        self,
        fleet: FleetState,
        version: VersionId,
        kind: EvidenceKind,
        is_recent: bool,
    ) -> float | None:
        """Return the mean to compare with, or None while there are too few scores.

        With ``is_recent`` it is the mean of the retained windows, in which the
        reference and the new version serve the same mix of requests. Otherwise, or
        with too few recent scores, it is the mean of the first scores.
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
        """Sum the histograms of the retained windows."""
        summed = [0.0] * (BUCKETS + 1)
        for window in self._retained_windows():
            counts = self._histogram(str(window), fleet, version, kind)
            summed = [a + b for a, b in zip(summed, counts, strict=True)]
        return summed

    def _retained_windows(self) -> range:
        """Return the retained windows, newest first."""
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
