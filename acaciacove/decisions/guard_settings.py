"""Settings of the roll-out guard."""

from attrs import frozen


@frozen
class GuardSettings:
    """How much evidence it takes.

    ``false_alarm`` bounds the chance that a version as good as the replaced one is
    ever stopped by one kind of evidence, whatever the number of looks.
    ``tolerance`` is the loss of mean score that counts as no worse;
    ``unacceptable`` the loss that a version must be shown not to have before its
    share grows. ``stages`` are the shares after the first.
    """

    false_alarm: float = 0.001
    tolerance: float = 0.04
    unacceptable: float = 0.15
    widen_odds: float = 20.0
    stages: tuple[float, ...] = (0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
    min_stage_scores: float = 30.0
    min_reference_scores: float = 50.0
    epoch_scores: int = 500
    kept_epochs: int = 8
