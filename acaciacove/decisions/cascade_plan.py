"""How requests of one class are answered."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class CascadePlan:
    """Start at ``start`` and escalate answers whose signal is low.

    Answers in bins below ``bins_below`` escalate to ``escalate_to``; those in bin
    ``bins_below`` itself do so with probability ``boundary_share``. ``quality`` and
    ``lower`` are the expected rating and its confidence bound, ``cost`` the expected
    cost of a request relative to the versions' prices.
    """

    start: VersionId
    escalate_to: VersionId | None = None
    bins_below: int = 0
    boundary_share: float = 0.0
    quality: float = 0.0
    lower: float = 0.0
    cost: float = 0.0
