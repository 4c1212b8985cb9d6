"""Settings of billing."""

from attrs import frozen


@frozen
class BillingSettings:
    """Bounds of the records that one process holds.

    A sidecar appends a copy itself when the entry did not confirm it for
    ``confirm_s``, or ``gone_s`` after the entry has gone. New requests are refused
    while more than ``max_held`` records wait, which takes a log outage of many
    minutes. ``confirm_batch`` request ids fit one message. At most ``max_submitted``
    records are with the log writer, where each weighs more: two full batches, so
    that one waits while the other is under way.
    """

    confirm_s: float = 90.0
    gone_s: float = 1.0
    max_held: int = 100_000
    max_submitted: int = 1024
    confirm_batch: int = 256
