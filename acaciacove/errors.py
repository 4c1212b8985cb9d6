"""Exceptions shared by several modules.

A failed request is no exception: it returns a Refusal.
"""


class AcaciacoveError(Exception):
    """Base of every exception that this package raises."""


class PlatformUnavailableError(AcaciacoveError):
    """A platform service did not answer or refused; the effect is unknown."""


class PlatformRefusedError(PlatformUnavailableError):
    """A platform service certainly did not execute the call.

    The call never reached the service, or the service's rate limit refused it.
    """


class OffsetExpiredError(AcaciacoveError):
    """The log does not have the requested offset.

    The records there have expired, or the log has returned from an older copy and ends
    before them.
    """

    def __init__(self, earliest_offset: int) -> None:
        """Store the first offset that can still be read."""
        super().__init__(
            f"the requested offset is not in the log, which begins at {earliest_offset}"
        )
        self.earliest_offset = earliest_offset


class LogRestoredError(AcaciacoveError):
    """A page is of another history of the log than the position it was read from."""

    def __init__(self, expected_era: int, era: int) -> None:
        """Say which era was expected, and which came."""
        super().__init__(f"expected a page of era {expected_era}, got era {era}")


class MalformedMessageError(AcaciacoveError):
    """Bytes from a peer or the log could not be decoded as a message."""


class InvalidSettingsError(AcaciacoveError):
    """Settings have faults; lists all of them."""

    def __init__(self, faults: list[str]) -> None:
        """Store the faults, one sentence each."""
        super().__init__("; ".join(faults))
        self.faults = faults


class LogQueueFullError(AcaciacoveError):
    """The log writer's queue has no room for an item of this priority."""

    def __init__(self, queued: int) -> None:
        """Store how many items are queued."""
        super().__init__(f"{queued} items wait for the log already")
        self.queued = queued
