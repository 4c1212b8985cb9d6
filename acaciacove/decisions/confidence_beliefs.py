"""What models' own opinions of their answers are worth, learnt from answers.

A model tells its confidence in an answer, 0 to 100. The beliefs take it for a noisy
reading of a margin: how far the model's ability lies above what the request needs, with
50 where it is as likely good as not. Two models that answered the same request show how
far their abilities lie apart, and how noisy the readings are.
"""

from math import erf, sqrt

from attrs import define, field

EVEN_ODDS = 50.0
LOWEST, HIGHEST = 0.0, 100.0
# Readings end at 0 and 100, margins do not: beyond the ends they lie about here.
BEYOND = 10.0
# Deviation of a reading before any pair of answers has shown it, and how many pairs
# that is worth.
PRIOR_NOISE = 12.0
PRIOR_PAIRS = 20.0
# How far a model is taken to lie above a smaller one before a pair shows it: the
# largest is taken to answer nearly everything, else it would never be asked and learnt.
PRIOR_OFFSET = 20.0
PRIOR_OFFSET_OF_LARGEST = 60.0
# An offset follows the newest pairs with this share at least, the first ones faster.
LEAST_SHARE = 0.05
# The share of requests that a model answers well before it has answered any, and how
# many answers that is worth.
PRIOR_QUALITY = 0.6
PRIOR_QUALITY_OF_LARGEST = 0.95
PRIOR_ANSWERS = 12.0


@define
class Offset:
    """How far one model's margin lies above another's, and pairs that showed it."""

    margin: float
    pairs: int = 0


@define
class Quality:
    """Expected good answers among ``answers`` of a model."""

    good: float
    answers: float


@define
class ConfidenceBeliefs:
    """Beliefs on the models of one service.

    Models are named by their callers; one that is new starts from what is usual.
    """

    offsets: dict[tuple[str, str], Offset] = field(factory=dict)
    qualities: dict[str, Quality] = field(factory=dict)
    _square_sum: float = PRIOR_PAIRS * PRIOR_NOISE**2
    _squares: float = PRIOR_PAIRS

    @property
    def noise(self) -> float:
        """Deviation of one reading."""
        return sqrt(self._square_sum / self._squares)

    def good_share(self, confidence: float) -> float:
        """Return how likely an answer with this confidence is good."""
        return self._likely(_margin(confidence))

    def good_share_of(self, first: str, confidence: float, second: str) -> float:
        """Return how likely ``second`` answers well where ``first`` was unsure."""
        return self._likely(_margin(confidence) + self.offset(first, second).margin)

    def quality(self, model: str, is_largest: bool) -> float:
        """Return the share of requests that a model answers well."""
        known = self.qualities.get(model)
        if known is None:
            return PRIOR_QUALITY_OF_LARGEST if is_largest else PRIOR_QUALITY
        return known.good / known.answers

    def offset(self, first: str, second: str, is_largest: bool = False) -> Offset:
        """Return how far ``second`` lies above ``first``, which is smaller."""
        prior = PRIOR_OFFSET_OF_LARGEST if is_largest else PRIOR_OFFSET
        return self.offsets.setdefault((first, second), Offset(prior))

    def learn_answer(self, model: str, is_largest: bool, confidence: float) -> None:
        """Take a model's answer to a request that no other was asked before."""
        prior = self.quality(model, is_largest)
        known = self.qualities.setdefault(
            model, Quality(prior * PRIOR_ANSWERS, PRIOR_ANSWERS)
        )
        known.good += self.good_share(confidence)
        known.answers += 1.0

    def learn_pair(
        self, first: str, first_told: float, second: str, second_told: float
    ) -> None:
        """Take two models' opinions on the same request.

        A reading at an end only bounds the margin: it teaches where the offset so far
        contradicts it.
        """
        offset = self.offset(first, second)
        seen = second_told - first_told
        is_bound = _is_end(first_told) or _is_end(second_told)
        if is_bound and not _contradicts(first_told, second_told, offset.margin):
            return
        if not is_bound:
            self._square_sum += (seen - offset.margin) ** 2 / 2.0
            self._squares += 1.0
        offset.pairs += 1
        share = max(LEAST_SHARE, 1.0 / (offset.pairs + 1.0))
        offset.margin += share * (seen - offset.margin)

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
    """Tell whether a pair with a reading at an end speaks against an offset."""
    seen = second_told - first_told
    if second_told >= HIGHEST and first_told > LOWEST:
        return margin < seen
    if first_told <= LOWEST and second_told < HIGHEST:
        return margin < seen
    if second_told <= LOWEST and first_told < HIGHEST:
        return margin > seen
    return False
