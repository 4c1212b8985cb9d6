"""A removed entry that may come back."""

from attrs import define


@define
class RetainedEntry:
    """Until when a removed entry may come back; ``expires_on_read`` says what ends it.

    One that is kept for less than its endpoint would serve while leaving ends with the
    time. Otherwise the log must have been looked at since: it may be away again.
    """

    expires_s: float
    expires_on_read: bool
