"""Verdict of the roll-out guard on one version."""

from attrs import frozen

from acaciacove.decisions.guard_action import GuardAction


@frozen
class GuardVerdict:
    """``share`` is the new exposure; ``reason`` names the evidence for it."""

    action: GuardAction
    share: float
    reason: str = ""
