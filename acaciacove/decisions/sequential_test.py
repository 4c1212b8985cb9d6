"""Sequential test on scores between 0 and 1, valid after any number of checks."""

from math import exp, log

BUCKETS = 10
_BET_FRACTIONS = (0.1, 0.25, 0.5, 0.75, 0.95)
_MIN_MEAN = 0.02


def score_bucket(score: float) -> int:
    """Return the histogram bucket, 0 to ``BUCKETS``, that is nearest to a score."""
    return round(min(1.0, max(0.0, score)) * BUCKETS)


def evidence_below(counts: list[float], mean: float) -> float:
    """Return the log odds against "the true mean is at least ``mean``".

    ``counts`` holds the number of scores per bucket. This is a test by betting: a
    bet against the hypothesis at fair odds multiplies the wealth by
    ``1 + bet * (mean - score)`` at each score. If the hypothesis is true, the wealth
    ever reaches ``1 / alpha`` with a probability of at most alpha (Ville's
    inequality), so the test may be repeated after every score. The result depends
    on the counts alone, so entries with the same counts reach the same result.
    """
    max_bet = 1.0 / max(_MIN_MEAN, 1.0 - mean)
    return _log_wealth(
        counts, [(mean, fraction * max_bet) for fraction in _BET_FRACTIONS]
    )


def evidence_above(counts: list[float], mean: float) -> float:
    """Return the log odds against "the true mean is at most ``mean``"."""
    max_bet = 1.0 / max(_MIN_MEAN, mean)
    return _log_wealth(
        counts, [(mean, -fraction * max_bet) for fraction in _BET_FRACTIONS]
    )


def _log_wealth(counts: list[float], bets: list[tuple[float, float]]) -> float:
    """Return the log of the mean wealth over several bets."""
    log_wealths = [_log_growth(counts, mean, bet) for mean, bet in bets]
    largest = max(log_wealths)
    return largest + log(
        sum(exp(value - largest) for value in log_wealths) / len(log_wealths)
    )


def _log_growth(counts: list[float], mean: float, bet: float) -> float:
    return sum(
        count * log(max(1e-9, 1.0 + bet * (mean - bucket / BUCKETS)))
        for bucket, count in enumerate(counts)
        if count
    )
