"""Billing record of one request."""

from attrs import frozen

BILLING_STREAM = "billing"


@frozen
class BillingRecord:
    """Cost of one request, including all its attempts.

    ``answered`` is false if the endpoint may have worked and the caller received no
    complete answer. Such a record costs nothing, and prevents the copy of a sidecar
    from counting. Non-repeatable calls have no such record: if the call took effect,
    the sidecar's copy bills it, or a retry that receives its answer. ``writer`` is
    the process that appended the record, ``at_s`` is Unix time.
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
