"""A sequential test on scores between 0 and 1, valid at every look."""

from math import exp, log

BUCKETS = 10
_BET_FRACTIONS = (0.1, 0.25, 0.5, 0.75, 0.95)
_MIN_MEAN = 0.02


def score_bucket(score: float) -> int:
    """Sort a score into one of ``BUCKETS + 1`` buckets; 0 and 1 are exact."""
    return round(min(1.0, max(0.0, score)) * BUCKETS)


def evidence_below(counts: list[float], mean: float) -> float:
    """Return the log odds against "the true mean is at least ``mean``".

    ``counts`` holds scores per bucket. A player who bets against the claim at fair
    odds multiplies its stake by ``1 + bet * (mean - score)`` at each score. If the
    claim holds, the stake reaches ``1 / alpha`` at any time with probability alpha
    at most (Ville's inequality), so looking after every score is free. The result
    depends on the counts alone, so entries that share counts agree.
    """
    largest = 1.0 / max(_MIN_MEAN, 1.0 - mean)
    return _log_wealth(counts, [(mean, size * largest) for size in _BET_FRACTIONS])


def evidence_above(counts: list[float], mean: float) -> float:
    """Return the log odds against "the true mean is at most ``mean``"."""
    largest = 1.0 / max(_MIN_MEAN, mean)
    return _log_wealth(counts, [(mean, -size * largest) for size in _BET_FRACTIONS])


def _log_wealth(counts: list[float], bets: list[tuple[float, float]]) -> float:
    """Return the log of the mean stake over several bet sizes."""
    logs = [_log_growth(counts, mean, bet) for mean, bet in bets]
    top = max(logs)
    return top + log(sum(exp(value - top) for value in logs) / len(logs))


def _log_growth(counts: list[float], mean: float, bet: float) -> float:
    return sum(
        count * log(max(1e-9, 1.0 + bet * (mean - bucket / BUCKETS)))
        for bucket, count in enumerate(counts)
        if count
    )
