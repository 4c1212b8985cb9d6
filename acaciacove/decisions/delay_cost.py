"""Cost of delaying queued requests a little further, estimated from answers."""

from attrs import define

from acaciacove.decisions.model_plan import lateness_slope

# Weight of the newest answer in the moving average.
EWMA_WEIGHT = 0.04
# Number of requests that one delay affects, as a delayed request delays others in turn.
DELAY_PROPAGATION = 3.0


@define
class DelayCost:
    """Mean loss of a service's answers per latency target of further delay.

    A little delay costs next to nothing for answers that take a fraction of their
    latency target, and most for answers near it. Until there are answers, a delay
    counts with its full weight of 1.
    """

    slope: float = 1.0 / DELAY_PROPAGATION

    def learn(self, took_s: float, target_s: float) -> None:
        """Update the mean with the time that a caller waited for the first chunk."""
        self.slope += EWMA_WEIGHT * (lateness_slope(took_s / target_s) - self.slope)

    @property
    def weight(self) -> float:
        """Cost of a delay by one latency target, as a share of an answer's value."""
        return min(1.0, DELAY_PROPAGATION * self.slope)
