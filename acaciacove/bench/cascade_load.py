"""The arrivals of the cascade scenario, with the truth about every answer."""

from attrs import frozen
from numpy import array
from numpy.random import Generator, default_rng

from acaciacove.bench.answer_model import AnswerModel, Floats
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

API_NAME = "guide"
TARGET = 0.8
CLASSES = ("interactive-short", "interactive-medium", "batch-long")
CLASS_SHARES = (0.5, 0.3, 0.2)
DIFFICULTIES = ((2.0, 4.0), (3.0, 4.0), (4.0, 4.0))
SKILLS = {"guide-small": 0.5, "guide-medium": 0.68, "guide-large": 0.92}
PRICES = {"guide-small": 1.0, "guide-medium": 3.5, "guide-large": 12.0}
DECLARED = {"guide-small": 0.6, "guide-medium": 0.75, "guide-large": 0.9}
UNHAPPY_BELOW = 0.5
UNHAPPY_FACTOR = 2.0


@frozen
class CascadeLoad:
    """Arrays over requests; per version in ``qualities``, ``signals``, ``ratings``.

    ``rated`` tells whether an answer of a version gets a rating: unhappy callers
    rate twice as often, and for a part of the run the service is away.
    """

    arrivals_s: Floats
    classes: list[str]
    tokens: Floats
    qualities: dict[VersionId, Floats]
    signals: dict[VersionId, Floats]
    ratings: dict[VersionId, Floats]
    rated: dict[VersionId, Floats]
    delays_s: Floats


def cascade_versions() -> dict[VersionId, Version]:
    """Return the three versions, cheapest first."""
    return {
        (version := VersionId(model, "1")): Version(
            version, API_NAME, PRICES[model], quality=DECLARED[model]
        )
        for model in SKILLS
    }


def draw_cascade_load(
    seed: int,
    duration_s: float,
    rate_per_s: float,
    rated_share: float,
    rating_delay_s: float,
) -> CascadeLoad:
    """Draw arrivals and, for each request, what every version would answer."""
    rng = default_rng(seed)
    count = int(rng.poisson(duration_s * rate_per_s))
    arrivals_s = rng.uniform(0.0, duration_s, count)
    arrivals_s.sort()
    drawn = rng.choice(len(CLASSES), count, p=CLASS_SHARES)
    alphas = array([a for a, _ in DIFFICULTIES])[drawn]
    betas = array([b for _, b in DIFFICULTIES])[drawn]
    difficulties = rng.beta(alphas, betas)
    model = AnswerModel()
    versions = list(cascade_versions())
    qualities = {v: model.qualities(SKILLS[v.model], difficulties) for v in versions}
    return CascadeLoad(
        arrivals_s,
        [CLASSES[at] for at in drawn],
        rng.lognormal(5.5, 0.6, count),
        qualities,
        {v: model.signals(q, rng) for v, q in qualities.items()},
        {v: model.ratings(q, rng) for v, q in qualities.items()},
        {v: _rated(q, arrivals_s, rated_share, rng) for v, q in qualities.items()},
        rng.exponential(rating_delay_s, count),
    )


def _rated(
    qualities: Floats, arrivals_s: Floats, rated_share: float, rng: Generator
) -> Floats:
    unhappy = qualities < UNHAPPY_BELOW
    chance = rated_share * (1.0 + (UNHAPPY_FACTOR - 1.0) * unhappy)
    end_s = float(arrivals_s[-1]) if len(arrivals_s) else 0.0
    away = (arrivals_s > 0.5 * end_s) & (arrivals_s < 0.6 * end_s)
    drawn = rng.uniform(size=len(qualities)) < chance
    return (drawn & ~away).astype(float)
