"""A removed entry that may be registered again."""

from attrs import define


@define
class RetainedEntry:
    """When a removed entry expires.

    An entry that is retained for less than the drain time of its endpoint expires at
    ``expires_at_s``. If ``expires_on_read`` is set, the log must also have been read
    after that time, because the log may be unavailable again.
    """

    expires_at_s: float
    expires_on_read: bool
