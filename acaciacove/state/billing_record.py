"""The record that bills one request."""

from attrs import frozen

BILLING_STREAM = "billing"


@frozen
class BillingRecord:
    """What one request cost, all its attempts together.

    ``answered`` is false when the endpoint may have worked and the caller got no
    whole answer; such a record costs nothing, and keeps a sidecar's copy from
    counting. There is none for a call that may not be repeated: if it took effect,
    its sidecar's copy bills it, or a retry that gets its answer. ``writer`` is the
    process that appended it; ``at_s`` is Unix time.
    """

    request_id: str
    organisation: str
    api: str
    version: str
    answered: bool
    cost: float = 0.0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    at_s: float = 0.0
    writer: str = ""
