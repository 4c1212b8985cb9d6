"""One successful read of a stream of the platform's log."""

from attrs import frozen

from acaciacove.gateway.log_page import LogPage

# The shortest outage, in heartbeat intervals, in which an entry can expire.
MIN_OUTAGE_HEARTBEATS = 0.5


@frozen
class LogReading:
    """A page and the times of its read, by the clock that runs during a suspend.

    ``is_snapshot`` is set if the page holds the newest record of each key. Calls failed
    from ``failing_since_boot_s`` on; None if the first call succeeded. The successful
    call was made at ``requested_boot_s``. At ``complete_boot_s`` the log held no more
    than this page and those before it. ``is_restored`` is set on the first snapshot
    after the log has returned from a copy.
    """

    page: LogPage
    is_snapshot: bool
    failing_since_boot_s: float | None
    requested_boot_s: float
    complete_boot_s: float
    is_restored: bool = False

    @property
    def failed_s(self) -> float:
        """How long calls had failed before this one."""
        if self.failing_since_boot_s is None:
            return 0.0
        return self.requested_boot_s - self.failing_since_boot_s

    def recovered_boot_s(self, heartbeat_s: float) -> float | None:
        """Return when the log recovered from an outage, or None if there was none.

        Calls that failed only in this process are no outage: a page from another
        gateway states since when the log has been available. If the log itself
        answered, the failed calls are the only evidence and count as an outage. A
        return from a copy is one, even if no call of this process failed.
        """
        if self.is_restored:
            return self.requested_boot_s
        if self.failed_s < MIN_OUTAGE_HEARTBEATS * heartbeat_s:
            return None
        if not self.page.is_relayed:
            return self.requested_boot_s
        recovered_after_s = self.page.recovered_after_s
        if recovered_after_s is None or -recovered_after_s > self.failed_s:
            return None
        return self.requested_boot_s + recovered_after_s
