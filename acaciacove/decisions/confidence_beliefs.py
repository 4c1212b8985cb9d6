"""Calibration of the confidences that models report, estimated from their answers.

A model reports its confidence in an answer from 0 to 100. The calibration treats it as
a noisy measurement of a margin: the model's ability minus the difficulty of the
request. A confidence of 50 is a margin of 0, where a good answer is as likely as a poor
one. Two models that answered the same request give the offset between their abilities
and the noise of the measurements.
"""

from math import erf, sqrt

from attrs import define, field

EVEN_ODDS = 50.0
LOWEST, HIGHEST = 0.0, 100.0
# Confidences are limited to 0 to 100, margins are not. A confidence at either end is
# taken as a margin this far beyond it.
BEYOND = 10.0
# Prior of the standard deviation of a confidence, and its weight in pairs of answers.
PRIOR_NOISE = 12.0
PRIOR_PAIRS = 20.0
# Prior of the offset of a model above a smaller one. The largest model is assumed to
# answer nearly everything well; otherwise it would never be queried, and its offset
# never estimated.
PRIOR_OFFSET = 20.0
PRIOR_OFFSET_OF_LARGEST = 60.0
# Minimum weight of a new pair in an offset; the first pairs weigh more.
LEAST_SHARE = 0.05
# Prior of the share of requests that a model answers well, and its weight in answers.
PRIOR_QUALITY = 0.6
PRIOR_QUALITY_OF_LARGEST = 0.95
PRIOR_ANSWERS = 12.0


@define
class Offset:
    """Margin of one model minus that of another, and the number of pairs behind it."""

    margin: float
    pairs: int = 0


@define
class Quality:
    """Expected number of good answers among ``answers``, both including the prior."""

    good: float
    answers: float


@define
class ConfidenceBeliefs:
    """Offsets, qualities and noise of the models of one service.

    Models are identified by the names that callers pass. A new name starts from the
    prior.
    """

    offsets: dict[tuple[str, str], Offset] = field(factory=dict)
    qualities: dict[str, Quality] = field(factory=dict)
    _square_sum: float = PRIOR_PAIRS * PRIOR_NOISE**2
    _squares: float = PRIOR_PAIRS

    @property
    def noise(self) -> float:
        """Standard deviation of one confidence."""
        return sqrt(self._square_sum / self._squares)

    def good_share(self, confidence: float) -> float:
        """Return the probability that an answer with this confidence is good."""
        return self._likely(_margin(confidence))

    def good_share_of(self, first: str, confidence: float, second: str) -> float:
        """Return the probability that ``second`` answers well.

        ``confidence`` is what ``first`` reported for its answer to the same request.
        """
        return self._likely(_margin(confidence) + self.offset(first, second).margin)

    def quality(self, model: str, is_largest: bool) -> float:
        """Return the estimated share of requests that a model answers well."""
        posterior = self.qualities.get(model)
        if posterior is None:
            return PRIOR_QUALITY_OF_LARGEST if is_largest else PRIOR_QUALITY
        return posterior.good / posterior.answers

    def offset(self, first: str, second: str, is_largest: bool = False) -> Offset:
        """Return the offset of ``second`` above ``first``, the smaller model."""
        prior = PRIOR_OFFSET_OF_LARGEST if is_largest else PRIOR_OFFSET
        return self.offsets.setdefault((first, second), Offset(prior))

    def learn_answer(self, model: str, is_largest: bool, confidence: float) -> None:
        """Update a model's quality with an answer to a request.

        No other model may have been queried for the request before.
        """
        prior = self.quality(model, is_largest)
        posterior = self.qualities.setdefault(
            model, Quality(prior * PRIOR_ANSWERS, PRIOR_ANSWERS)
        )
        posterior.good += self.good_share(confidence)
        posterior.answers += 1.0

    def learn_pair(
        self, first: str, first_told: float, second: str, second_told: float
    ) -> None:
        """Update offset and noise with two models' confidences on the same request.

        A confidence at either end of the scale is only a bound on the margin. It
        changes the offset only if it contradicts the current one, and never the noise.
        """
        offset = self.offset(first, second)
        observed = second_told - first_told
        is_bound = _is_end(first_told) or _is_end(second_told)
        if is_bound and not _contradicts(first_told, second_told, offset.margin):
            return
        if not is_bound:
            self._square_sum += (observed - offset.margin) ** 2 / 2.0
            self._squares += 1.0
        offset.pairs += 1
        weight = max(LEAST_SHARE, 1.0 / (offset.pairs + 1.0))
        offset.margin += weight * (observed - offset.margin)

    def _likely(self, margin: float) -> float:
        return 0.5 * (1.0 + erf(margin / self.noise / sqrt(2.0)))


def _margin(confidence: float) -> float:
    if confidence <= LOWEST:
        return LOWEST - BEYOND - EVEN_ODDS
    if confidence >= HIGHEST:
        return HIGHEST + BEYOND - EVEN_ODDS
    return confidence - EVEN_ODDS


def _is_end(confidence: float) -> bool:
    return not LOWEST < confidence < HIGHEST


def _contradicts(first_told: float, second_told: float, margin: float) -> bool:
    """Return whether a pair with a confidence at an end contradicts an offset."""
    observed = second_told - first_told
    if second_told >= HIGHEST and first_told > LOWEST:
        return margin < observed
    if first_told <= LOWEST and second_told < HIGHEST:
        return margin < observed
    if second_told <= LOWEST and first_told < HIGHEST:
        return margin > observed
    return False
