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
        moved = mean + self.slope * variance / (1.0 + self.slope * (1.0 - mean))
        moved = min(1.0, max(0.0, moved))
        squares = (variance + moved * moved) * tally.count
        return Tally(tally.count, moved * tally.count, squares)


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
    rate = sum(seen * rated for seen, rated, _ in points) / total
    short = sum(seen * low for seen, _, low in points) / total
    spread = sum(seen * (low - short) ** 2 for seen, _, low in points)
    if spread <= 0.0:
        return ResponseBias()
    covered = sum(s * (low - short) * (rated - rate) for s, rated, low in points)
    steep = covered / spread
    error = (rate * (1.0 - min(1.0, rate)) / spread) ** 0.5
    steep = max(0.0, abs(steep) - error) * (1.0 if steep > 0.0 else -1.0)
    at_best = rate - steep * short
    if at_best <= 0.0:
        return ResponseBias(MAX_BIAS if steep > 0.0 else 0.0)
    return ResponseBias(min(MAX_BIAS, max(MIN_BIAS, steep / at_best)))
