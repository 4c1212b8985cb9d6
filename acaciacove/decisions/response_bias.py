"""Corrects ratings for response bias: some answers are rated more often."""

from collections.abc import Iterable

from attrs import frozen

from acaciacove.decisions.tally import Tally

MAX_BIAS = 3.0
MIN_BIAS = -0.5
MIN_SEEN = 200.0


@frozen
class ResponseBias:
    """Relative increase ``slope`` of the rating probability from score 1 to score 0.

    Dissatisfied callers often rate more. The mean of the ratings is then too low, and
    the router pays for quality that it already has.
    """

    slope: float = 0.0

    def correct(self, tally: Tally) -> Tally:
        """Return the approximate tally without response bias."""
        if not tally.count or not self.slope:
            return tally
        mean = tally.mean
        variance = max(0.0, tally.squares / tally.count - mean * mean)
        corrected = mean + self.slope * variance / (1.0 + self.slope * (1.0 - mean))
        corrected = min(1.0, max(0.0, corrected))
        squares = (variance + corrected * corrected) * tally.count
        return Tally(tally.count, corrected * tally.count, squares)


def fit_response_bias(bins: Iterable[tuple[float, Tally]]) -> ResponseBias:
    """Fit the slope to the numbers of answers and ratings by signal bin.

    Every answer has a signal, rated or not. If bins with low ratings are rated more
    often than bins with high ratings, the probability of a rating depends on the
    score. The slope is reduced by one standard error towards 0, so that little data
    gives little correction.
    """
    points = [
        (seen, tally.count / seen, 1.0 - tally.mean)
        for seen, tally in bins
        if seen and tally.count
    ]
    total = sum(seen for seen, _, _ in points)
    if total < MIN_SEEN or len(points) < 3:
        return ResponseBias()
    mean_rate = sum(seen * rate for seen, rate, _ in points) / total
    mean_shortfall = sum(seen * shortfall for seen, _, shortfall in points) / total
    spread = sum(
        seen * (shortfall - mean_shortfall) ** 2 for seen, _, shortfall in points
    )
    if spread <= 0.0:
        return ResponseBias()
    covariance = sum(
        seen * (shortfall - mean_shortfall) * (rate - mean_rate)
        for seen, rate, shortfall in points
    )
    slope = covariance / spread
    standard_error = (mean_rate * (1.0 - min(1.0, mean_rate)) / spread) ** 0.5
    slope = max(0.0, abs(slope) - standard_error) * (1.0 if slope > 0.0 else -1.0)
    rate_at_best = mean_rate - slope * mean_shortfall
    if rate_at_best <= 0.0:
        return ResponseBias(MAX_BIAS if slope > 0.0 else 0.0)
    return ResponseBias(min(MAX_BIAS, max(MIN_BIAS, slope / rate_at_best)))
