"""Request that waits at a sidecar for its endpoint."""

from attrs import frozen


@frozen
class WaitingItem:
    """Properties of a request that admission uses.

    ``cost_tokens`` is the expected work, ``weight`` the organisation's share.
    ``deadline_at_s`` is on the same clock as the ``now_s`` of ``AdmissionQueue``.
    """

    request_id: str
    organisation: str
    weight: float
    cost_tokens: float
    deadline_at_s: float
    batch: bool = False
