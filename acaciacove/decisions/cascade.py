"""Decides whether an answer escalates to a more expensive version."""

from random import Random

from acaciacove.decisions.rated_class import signal_bin
from acaciacove.decisions.version_decision import VersionDecision


def should_escalate(
    decision: VersionDecision, signal: float, rng: Random, budget_left: bool = True
) -> bool:
    """Return whether to query the next version of the ladder.

    ``signal`` is ``AnswerSignal.value()``. ``budget_left`` is False if the deadline is
    too close or the next version is overloaded; the current answer is delivered then.
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
