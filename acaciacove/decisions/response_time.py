"""Estimates the time of a route's responses at an endpoint of normal speed."""

from attrs import define

# Weight that older responses keep with each new one.
DECAY = 0.98
# Queueing makes responses later, never earlier. Slower responses get this weight
# relative to faster ones, which keeps queueing out of the estimate.
SLOWER_WEIGHT = 0.1


@define
class ResponseTime:
    """Mean time of whole responses over a service's endpoints, in seconds.

    ``learn`` is given times divided by the endpoint's slowness. The mean is an
    expectile below the middle, as in the estimate of an endpoint's own slowness.
    """

    mean_s: float = 0.0
    _weight: float = 0.0

    def learn(self, normal_s: float) -> None:
        """Add the time of one response at normal speed and pace."""
        weight = SLOWER_WEIGHT if normal_s > self.mean_s else 1.0
        self._weight = DECAY * self._weight + weight
        self.mean_s += weight * (normal_s - self.mean_s) / self._weight
