"""Cascade plan of one request class."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class CascadePlan:
    """Query ``start`` first and escalate answers with a low signal.

    Answers in signal bins below ``bins_below`` escalate to ``escalate_to``. Answers in
    bin ``bins_below`` itself escalate with probability ``boundary_share``. ``quality``
    is the expected rating and ``lower`` its lower confidence bound. ``cost`` is the
    expected cost of a request in the unit of the versions' prices.
    """

    start: VersionId
    escalate_to: VersionId | None = None
    bins_below: int = 0
    boundary_share: float = 0.0
    quality: float = 0.0
    lower: float = 0.0
    cost: float = 0.0
