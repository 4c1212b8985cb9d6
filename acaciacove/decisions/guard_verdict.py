"""The verdict on one version under watch."""

from attrs import frozen

from acaciacove.decisions.guard_action import GuardAction


@frozen
class GuardVerdict:
    """``share`` is the exposure from now on; ``reason`` names the evidence."""

    action: GuardAction
    share: float
    reason: str = ""
