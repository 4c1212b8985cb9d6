"""Exceptions that cross module boundaries; failures of requests are values."""


class AcaciacoveError(Exception):
    """Base of every exception that this package raises."""


class PlatformUnavailableError(AcaciacoveError):
    """A platform service did not answer, or refused; its effect is unknown."""


class PlatformRefusedError(PlatformUnavailableError):
    """A call that a platform service is known not to have carried out.

    It never reached the service, or the service's rate limit refused it.
    """


class OffsetExpiredError(AcaciacoveError):
    """Records from the asked offset on are no longer kept by the log."""

    def __init__(self, earliest_offset: int) -> None:
        """Keep the first offset that can still be read."""
        super().__init__(f"records before offset {earliest_offset} have expired")
        self.earliest_offset = earliest_offset


class MalformedMessageError(AcaciacoveError):
    """Bytes from a peer or the log that no message can be read from."""


class InvalidSettingsError(AcaciacoveError):
    """Settings with faults, all of them listed."""

    def __init__(self, faults: list[str]) -> None:
        """Keep every fault, one sentence each."""
        super().__init__("; ".join(faults))
        self.faults = faults


class LogQueueFullError(AcaciacoveError):
    """The log writer's queue has no room for an item of this class."""

    def __init__(self, queued: int) -> None:
        """Keep how many items wait already."""
        super().__init__(f"{queued} items wait for the log already")
        self.queued = queued
