"""A small fake of what answers are worth: quality, engine confidence, ratings."""

from attrs import frozen
from numpy import clip, exp, float64
from numpy.random import Generator
from numpy.typing import NDArray

Floats = NDArray[float64]

BEST_RATING = 0.96
SPREAD = 0.11


@frozen
class AnswerModel:
    """Versions by skill; requests by difficulty, drawn per class.

    A version answers well what is easier than its skill, with a soft edge. Neither
    difficulty nor quality is told to a policy, only ``signals`` and late ratings.
    """

    signal_noise: float = 0.14
    rating_noise: float = 0.12

    def qualities(self, skill: float, difficulties: Floats) -> Floats:
        """Return the true rating that each request's answer deserves."""
        return BEST_RATING / (1.0 + exp((difficulties - skill) / SPREAD))

    def signals(self, qualities: Floats, rng: Generator) -> Floats:
        """Return what the engine's confidence says of each answer."""
        noise = rng.normal(0.0, self.signal_noise, len(qualities))
        return clip(qualities + noise, 0.0, 0.999)

    def ratings(self, qualities: Floats, rng: Generator) -> Floats:
        """Return the rating that each answer gets if it gets one."""
        noise = rng.normal(0.0, self.rating_noise, len(qualities))
        return clip(qualities + noise, 0.0, 1.0)
