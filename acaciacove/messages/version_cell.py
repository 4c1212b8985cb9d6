"""Counters of one gateway for one version and one kind of request."""

from attrs import frozen


@frozen
class VersionCell:
    """Counts since the order of a roll-out; they never decrease in one incarnation.

    ``revision`` is the id of the order. ``is_target`` is true for the new
    version and false for the old ones. ``name`` is a route with a model size, or an
    endpoint. ``log_time_sum`` is the sum of the natural logarithms of ``timed``
    times in seconds. ``late`` of ``judged`` requests took much longer than the
    baseline of their kind.
    """

    service: str
    revision: int
    is_target: bool
    name: str
    answers: int
    failures: int
    timed: int
    log_time_sum: float
    judged: int = 0
    late: int = 0
