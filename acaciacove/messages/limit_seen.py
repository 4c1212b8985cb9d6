"""Rate limit that an endpoint last stated."""

from attrs import frozen


@frozen
class LimitSeen:
    """Limit of an endpoint; ``per_s`` is None if the endpoint has lifted it.

    ``endpoint`` identifies one incarnation of the endpoint. ``age_s`` is the time
    since a gateway received the answer that stated the limit.
    """

    endpoint: int
    per_s: float | None
    age_s: float
