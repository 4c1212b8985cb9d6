"""When the answer of a cheap version is not good enough."""

from random import Random

from acaciacove.decisions.rated_class import signal_bin
from acaciacove.decisions.version_decision import VersionDecision


def should_escalate(
    decision: VersionDecision, signal: float, rng: Random, budget_left: bool = True
) -> bool:
    """Tell whether to ask the next version of the ladder instead.

    ``signal`` is ``AnswerSignal.value()``. Without budget (deadline too near, next
    version overloaded) the answer at hand is delivered.
    """
    if len(decision.ladder) < 2 or not budget_left:
        return False
    if decision.always_escalates:
        return True
    plan = decision.plan
    bin_ = signal_bin(signal)
    if bin_ < plan.bins_below:
        return True
    return bin_ == plan.bins_below and rng.random() < plan.boundary_share
