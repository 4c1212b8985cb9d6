"""Settings of the roll-out guard."""

from attrs import frozen


@frozen
class GuardSettings:
    """How much evidence the roll-out guard requires.

    ``false_alarm`` bounds the probability that a version as good as its reference is
    ever quarantined by one kind of evidence in one window, for any number of checks.
    ``tolerance`` is the loss of mean score that still counts as no worse.
    ``unacceptable`` is the loss that must be ruled out before the share grows: each
    stage requires another factor of ``widen_odds`` in the odds and
    ``stage_ratings`` more ratings. A window starts every ``window_ratings`` ratings
    of the whole service, and the last ``kept_windows`` are retained. The baseline of
    a version is the mean of its first ``baseline_scores`` scores, and a reference
    needs at least ``min_reference_scores``.
    """

    false_alarm: float = 0.0005
    tolerance: float = 0.04
    unacceptable: float = 0.12
    widen_odds: float = 20.0
    stage_ratings: float = 20.0
    stages: tuple[float, ...] = (0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
    min_reference_scores: float = 100.0
    baseline_scores: float = 2_000.0
    window_ratings: int = 300
    kept_windows: int = 8
