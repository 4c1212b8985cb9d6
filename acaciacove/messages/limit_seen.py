"""What an endpoint was last seen to say of its limit."""

from attrs import frozen


@frozen
class LimitSeen:
    """``endpoint`` stands for one life of it; ``per_s`` is None for a lifted limit.

    ``age_s`` is how long ago a gateway got the answer.
    """

    endpoint: int
    per_s: float | None
    age_s: float
