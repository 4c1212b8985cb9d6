"""What one gateway saw of one version in one kind of request."""

from attrs import frozen


@frozen
class VersionCell:
    """Counts since a roll-out's order, never falling in one life of a gateway.

    ``revision`` is the order's log offset, ``is_target`` tells the new version
    from the old ones. ``name`` is a route with a model size, or an endpoint.
    ``log_time_sum`` adds the natural logarithms of ``timed`` times in seconds;
    ``late`` of ``judged`` requests took much longer than is usual for their kind.
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
