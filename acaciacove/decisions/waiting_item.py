"""A request that waits at a sidecar for its endpoint."""

from attrs import frozen


@frozen
class WaitingItem:
    """What admission has to know of a request.

    ``cost_tokens`` is the expected work, ``weight`` the organisation's share.
    ``deadline_at_s`` is on the clock that is handed in as ``now_s``.
    """

    request_id: str
    organisation: str
    weight: float
    cost_tokens: float
    deadline_at_s: float
    batch: bool = False
