"""One successful look at a stream of the platform's log."""

from attrs import frozen

from acaciacove.gateway.log_page import LogPage

# In shorter absences, as a part of the pause between heartbeats, no entry lapses.
MIN_OUTAGE_HEARTBEATS = 0.5


@frozen
class LogReading:
    """A page and the moments of its reading, by the clock that goes on while suspended.

    ``is_snapshot`` is set where the page holds the newest of each key. Calls failed
    from
    ``failing_since_boot_s`` on; None where the first one succeeded, which was made at
    ``requested_boot_s``. The log held no more than this page, and those before it, at
    ``complete_boot_s``.
    """

    page: LogPage
    is_snapshot: bool
    failing_since_boot_s: float | None
    requested_boot_s: float
    complete_boot_s: float

    @property
    def failed_s(self) -> float:
        """For how long calls had failed before this one."""
        if self.failing_since_boot_s is None:
            return 0.0
        return self.requested_boot_s - self.failing_since_boot_s

    def recovered_boot_s(self, heartbeat_s: float) -> float | None:
        """Return when the log came back from an absence; None if it was there.

        Calls that failed here alone are none: another gateway tells since when the log
        has been there. Only where the log answers itself do they stand for it.
        """
        if self.failed_s < MIN_OUTAGE_HEARTBEATS * heartbeat_s:
            return None
        if not self.page.is_relayed:
            return self.requested_boot_s
        recovered_after_s = self.page.recovered_after_s
        if recovered_after_s is None or -recovered_after_s > self.failed_s:
            return None
        return self.requested_boot_s + recovered_after_s
