"""What it costs requests that wait to wait a little longer, learnt from answers."""

from attrs import define

from acaciacove.decisions.model_plan import lateness_slope

# The newest answer counts this much.
EWMA_WEIGHT = 0.04
# A delayed request delays others in turn; this many feel a delay in the end.
DELAY_PROPAGATION = 3.0


@define
class DelayCost:
    """The mean loss for each target of further delay, of a service's answers.

    Answers that come in a fraction of their target lose next to nothing by a little
    delay, those near it lose most. Nothing is known at the start: delays count in full.
    """

    slope: float = 1.0 / DELAY_PROPAGATION

    def learn(self, took_s: float, target_s: float) -> None:
        """Take how long a caller waited for the first piece of an answer."""
        self.slope += EWMA_WEIGHT * (lateness_slope(took_s / target_s) - self.slope)

    @property
    def weight(self) -> float:
        """Return what a delay of one target costs, as a share of an answer's worth."""
        return min(1.0, DELAY_PROPAGATION * self.slope)
