"""Estimates the usual time of responses over all endpoints of a service."""

from math import exp, log

from attrs import define

# Weight that older responses keep with each new one: the mean covers about fifty.
DECAY = 0.98


@define
class ResponseTime:
    """Geometric mean of the times of responses, relative to a prediction.

    An endpoint's own slowness is relative to this mean. The prefill latency cannot
    take its place: it is kept below the middle to leave out queueing, while the own
    slowness is a plain mean, and the two would drift apart without end.
    """

    _mean_log: float = 0.0
    _weight: float = 0.0

    def usual_s(self, predicted_s: float) -> float:
        """Return the usual time of such a response in seconds, 0 if none is known."""
        return predicted_s * exp(self._mean_log) if self._weight else 0.0

    def learn(self, predicted_s: float, normal_s: float) -> None:
        """Add one response: its predicted time, and its time at normal speed and pace.

        Both are in seconds; times that are not positive are ignored.
        """
        if predicted_s <= 0.0 or normal_s <= 0.0:
            return
        self._weight = DECAY * self._weight + 1.0
        self._mean_log += (log(normal_s / predicted_s) - self._mean_log) / self._weight
