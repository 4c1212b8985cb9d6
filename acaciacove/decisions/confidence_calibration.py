"""What models' own opinions of their answers are worth, learnt from answers.

A model tells its confidence in an answer, 0 to 100. The beliefs take it for a noisy
reading of a margin: how far the model's ability lies above what the request needs, with
50 where it is as likely good as not. Two models that answered the same request show how
far their abilities lie apart, and how noisy the readings are.
"""

from math import erf, sqrt

from attrs import define, field

EVEN_CONFIDENCE = 50.0
MIN_CONFIDENCE, MAX_CONFIDENCE = 0.0, 100.0
# Readings end at 0 and 100, margins do not: beyond the ends they lie about here.
SATURATION_EXCESS = 10.0
# Deviation of a reading before any pair of answers has shown it, and how many pairs
# that is worth.
PRIOR_NOISE = 12.0
PRIOR_PAIRS = 20.0
# How far a model is taken to lie above a smaller one before a pair shows it: the
# largest is taken to answer nearly everything, else it would never be asked and learnt.
PRIOR_OFFSET = 20.0
PRIOR_OFFSET_OF_LARGEST = 60.0
# An offset follows the newest pairs with this share at least, the first ones faster.
MIN_OFFSET_WEIGHT = 0.05
# The share of requests that a model answers well before it has answered any, and how
# many answers that is worth.
PRIOR_QUALITY = 0.6
PRIOR_QUALITY_OF_LARGEST = 0.95
PRIOR_ANSWERS = 12.0


@define
class AbilityOffset:
    """How far one model's margin lies above another's, and pairs that showed it."""

    margin: float
    pairs: int = 0


@define
class QualityPosterior:
    """Expected good answers among ``answers`` of a model."""

    good: float
    answers: float


@define
class ConfidenceCalibration:
    """Beliefs on the models of one service.

    Models are named by their callers; one that is new starts from what is usual.
    """

    offsets: dict[tuple[str, str], AbilityOffset] = field(factory=dict)
    qualities: dict[str, QualityPosterior] = field(factory=dict)
    _squared_errors: float = PRIOR_PAIRS * PRIOR_NOISE**2
    _error_count: float = PRIOR_PAIRS

    @property
    def noise(self) -> float:
        """Deviation of one reading."""
        return sqrt(self._squared_errors / self._error_count)

    def good_probability(self, confidence: float) -> float:
        """Return how likely an answer with this confidence is good."""
        return self._probability(_margin(confidence))

    def good_probability_after(
        self, first: str, confidence: float, second: str
    ) -> float:
        """Return how likely ``second`` answers well where ``first`` was unsure."""
        return self._probability(
            _margin(confidence) + self.offset(first, second).margin
        )

    def quality(self, model: str, is_largest: bool) -> float:
        """Return the share of requests that a model answers well."""
        known = self.qualities.get(model)
        if known is None:
            return PRIOR_QUALITY_OF_LARGEST if is_largest else PRIOR_QUALITY
        return known.good / known.answers

    def offset(
        self, first: str, second: str, is_largest: bool = False
    ) -> AbilityOffset:
        """Return how far ``second`` lies above ``first``, which is smaller."""
        prior = PRIOR_OFFSET_OF_LARGEST if is_largest else PRIOR_OFFSET
        return self.offsets.setdefault((first, second), AbilityOffset(prior))

    def learn_answer(self, model: str, is_largest: bool, confidence: float) -> None:
        """Take a model's answer to a request that no other was asked before."""
        prior = self.quality(model, is_largest)
        known = self.qualities.setdefault(
            model, QualityPosterior(prior * PRIOR_ANSWERS, PRIOR_ANSWERS)
        )
        known.good += self.good_probability(confidence)
        known.answers += 1.0

    def learn_pair(
        self, first: str, first_confidence: float, second: str, second_confidence: float
    ) -> None:
        """Take two models' opinions on the same request.

        A reading at an end only bounds the margin: it teaches where the offset so far
        contradicts it.
        """
        offset = self.offset(first, second)
        seen = second_confidence - first_confidence
        is_bound = _is_end(first_confidence) or _is_end(second_confidence)
        if is_bound and not _contradicts(
            first_confidence, second_confidence, offset.margin
        ):
            return
        if not is_bound:
            self._squared_errors += (seen - offset.margin) ** 2 / 2.0
            self._error_count += 1.0
        offset.pairs += 1
        share = max(MIN_OFFSET_WEIGHT, 1.0 / (offset.pairs + 1.0))
        offset.margin += share * (seen - offset.margin)

    def _probability(self, margin: float) -> float:
        return 0.5 * (1.0 + erf(margin / self.noise / sqrt(2.0)))


def _margin(confidence: float) -> float:
    if confidence <= MIN_CONFIDENCE:
        return MIN_CONFIDENCE - SATURATION_EXCESS - EVEN_CONFIDENCE
    if confidence >= MAX_CONFIDENCE:
        return MAX_CONFIDENCE + SATURATION_EXCESS - EVEN_CONFIDENCE
    return confidence - EVEN_CONFIDENCE


def _is_end(confidence: float) -> bool:
    return not MIN_CONFIDENCE < confidence < MAX_CONFIDENCE


def _contradicts(
    first_confidence: float, second_confidence: float, margin: float
) -> bool:
    """Tell whether a pair with a reading at an end speaks against an offset."""
    seen = second_confidence - first_confidence
    if second_confidence >= MAX_CONFIDENCE and first_confidence > MIN_CONFIDENCE:
        return margin < seen
    if first_confidence <= MIN_CONFIDENCE and second_confidence < MAX_CONFIDENCE:
        return margin < seen
    if second_confidence <= MIN_CONFIDENCE and first_confidence < MAX_CONFIDENCE:
        return margin > seen
    return False
