"""Settings of the roll-out guard."""

from attrs import frozen


@frozen
class GuardSettings:
    """How much evidence it takes.

    ``false_alarm`` bounds the chance that a version as good as its reference is ever
    stopped by one kind of evidence in one window, whatever the number of looks.
    ``tolerance`` is the loss of mean score that counts as no worse;
    ``unacceptable`` the loss that a version must be shown not to have before its
    share grows, each time with odds of ``widen_odds`` and ``stage_ratings`` more
    ratings. Windows start every ``window_ratings`` ratings of the whole service, the
    last ``kept_windows`` are kept. A reference is the mean of the first
    ``baseline_scores`` scores of a version.
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
