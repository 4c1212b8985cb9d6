"""Calibration of the confidences that models report, estimated from their answers.

A model reports its confidence in an answer from 0 to 100. The calibration treats it as
a noisy measurement of a margin: the model's ability minus the difficulty of the
request. A confidence of 50 is a margin of 0, where a good answer is as likely as a poor
one. Two models that answered the same request give the offset between their abilities
and the noise of the measurements.
"""

from math import erf, sqrt

from attrs import define, field

EVEN_CONFIDENCE = 50.0
MIN_CONFIDENCE, MAX_CONFIDENCE = 0.0, 100.0
# Confidences are limited to 0 to 100, margins are not. A confidence at either end is
# taken as a margin this far beyond it.
SATURATION_EXCESS = 10.0
# Prior of the standard deviation of a confidence, and its weight in pairs of answers.
PRIOR_NOISE = 12.0
PRIOR_PAIRS = 20.0
# Prior of the offset of a model above a smaller one. The largest model is assumed to
# answer nearly everything well; otherwise it would never be queried, and its offset
# never estimated.
PRIOR_OFFSET = 20.0
PRIOR_OFFSET_OF_LARGEST = 60.0
# Minimum weight of a new pair in an offset; the first pairs weigh more.
MIN_OFFSET_WEIGHT = 0.05
# Prior of the share of requests that a model answers well, and its weight in answers.
PRIOR_QUALITY = 0.6
PRIOR_QUALITY_OF_LARGEST = 0.95
PRIOR_ANSWERS = 12.0


@define
class AbilityOffset:
    """Margin of one model minus that of another, and the number of pairs behind it."""

    margin: float
    pairs: int = 0


@define
class QualityPosterior:
    """Expected number of good answers among ``answers``, both including the prior."""

    good: float
    answers: float


@define
class ConfidenceCalibration:
    """Offsets, qualities and noise of the models of one service.

    Models are identified by the names that callers pass. A new name starts from the
    prior.
    """

    offsets: dict[tuple[str, str], AbilityOffset] = field(factory=dict)
    qualities: dict[str, QualityPosterior] = field(factory=dict)
    _squared_errors: float = PRIOR_PAIRS * PRIOR_NOISE**2
    _error_count: float = PRIOR_PAIRS

    @property
    def noise(self) -> float:
        """Standard deviation of one confidence."""
        return sqrt(self._squared_errors / self._error_count)

    def good_probability(self, confidence: float) -> float:
        """Return the probability that an answer with this confidence is good."""
        return self._probability(_margin(confidence))

    def good_probability_after(
        self, first: str, confidence: float, second: str
    ) -> float:
        """Return the probability that ``second`` answers well.

        ``confidence`` is what ``first`` reported for its answer to the same request.
        """
        return self._probability(
            _margin(confidence) + self.offset(first, second).margin
        )

    def quality(self, model: str, is_largest: bool) -> float:
        """Return the estimated share of requests that a model answers well."""
        posterior = self.qualities.get(model)
        if posterior is None:
            return PRIOR_QUALITY_OF_LARGEST if is_largest else PRIOR_QUALITY
        return posterior.good / posterior.answers

    def offset(
        self, first: str, second: str, is_largest: bool = False
    ) -> AbilityOffset:
        """Return the offset of ``second`` above ``first``, the smaller model."""
        prior = PRIOR_OFFSET_OF_LARGEST if is_largest else PRIOR_OFFSET
        return self.offsets.setdefault((first, second), AbilityOffset(prior))

    def learn_answer(self, model: str, is_largest: bool, confidence: float) -> None:
        """Update a model's quality with an answer to a request.

        No other model may have been queried for the request before.
        """
        prior = self.quality(model, is_largest)
        posterior = self.qualities.setdefault(
            model, QualityPosterior(prior * PRIOR_ANSWERS, PRIOR_ANSWERS)
        )
        posterior.good += self.good_probability(confidence)
        posterior.answers += 1.0

    def learn_pair(
        self, first: str, first_confidence: float, second: str, second_confidence: float
    ) -> None:
        """Update offset and noise with two models' confidences on the same request.

        A confidence at either end of the scale is only a bound on the margin. It
        changes the offset only if it contradicts the current one, and never the noise.
        """
        offset = self.offset(first, second)
        observed = second_confidence - first_confidence
        is_bound = _is_at_end(first_confidence) or _is_at_end(second_confidence)
        if is_bound and not _contradicts(
            first_confidence, second_confidence, offset.margin
        ):
            return
        if not is_bound:
            self._squared_errors += (observed - offset.margin) ** 2 / 2.0
            self._error_count += 1.0
        offset.pairs += 1
        weight = max(MIN_OFFSET_WEIGHT, 1.0 / (offset.pairs + 1.0))
        offset.margin += weight * (observed - offset.margin)

    def _probability(self, margin: float) -> float:
        return 0.5 * (1.0 + erf(margin / self.noise / sqrt(2.0)))


def _margin(confidence: float) -> float:
    if confidence <= MIN_CONFIDENCE:
        return MIN_CONFIDENCE - SATURATION_EXCESS - EVEN_CONFIDENCE
    if confidence >= MAX_CONFIDENCE:
        return MAX_CONFIDENCE + SATURATION_EXCESS - EVEN_CONFIDENCE
    return confidence - EVEN_CONFIDENCE


def _is_at_end(confidence: float) -> bool:
    return not MIN_CONFIDENCE < confidence < MAX_CONFIDENCE


def _contradicts(
    first_confidence: float, second_confidence: float, margin: float
) -> bool:
    """Return whether a pair with a confidence at an end contradicts an offset."""
    observed = second_confidence - first_confidence
    if second_confidence >= MAX_CONFIDENCE and first_confidence > MIN_CONFIDENCE:
        return margin < observed
    if first_confidence <= MIN_CONFIDENCE and second_confidence < MAX_CONFIDENCE:
        return margin < observed
    if second_confidence <= MIN_CONFIDENCE and first_confidence < MAX_CONFIDENCE:
        return margin > observed
    return False
