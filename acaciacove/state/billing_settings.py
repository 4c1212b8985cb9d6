"""Settings of billing."""

from attrs import frozen


@frozen
class BillingSettings:
    """Timeouts and limits of the billing records that one process holds.

    A sidecar appends a copy itself if the entry does not confirm it within
    ``confirm_s``, or ``gone_s`` after the entry has ended. New requests are refused
    while ``max_held`` records are held, which takes a log outage of many minutes. A
    message confirms up to ``confirm_batch`` request ids. At most ``max_submitted``
    records are queued in the log writer, where each takes more memory. That is two
    full batches, so that one is queued while the other is being appended.
    """

    confirm_s: float = 90.0
    gone_s: float = 1.0
    max_held: int = 100_000
    max_submitted: int = 1024
    confirm_batch: int = 256
