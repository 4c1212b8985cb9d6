"""One successful look at a stream of the platform's log."""

from attrs import frozen

from acaciacove.gateway.log_page import LogPage

# In shorter absences, as a part of the pause between heartbeats, no entry lapses.
LEAST_ABSENCE_HEARTBEATS = 0.5


@frozen
class LogReading:
    """A page and the moments of its reading, by the clock that goes on while suspended.

    ``is_newest`` is set where the page holds the newest of each key. Calls failed from
    ``failing_boot_s`` on; None where the first one succeeded, which was made at
    ``asked_boot_s``. The log held no more than this page, and those before it, at
    ``complete_boot_s``.
    """

    page: LogPage
    is_newest: bool
    failing_boot_s: float | None
    asked_boot_s: float
    complete_boot_s: float

    @property
    def failed_s(self) -> float:
        """For how long calls had failed before this one."""
        if self.failing_boot_s is None:
            return 0.0
        return self.asked_boot_s - self.failing_boot_s

    def returned_boot_s(self, heartbeat_s: float) -> float | None:
        """Return when the log came back from an absence; None if it was there.

        Calls that failed here alone are none: another gateway tells since when the log
        has been there. Only where the log answers itself do they stand for it.
        """
        if self.failed_s < LEAST_ABSENCE_HEARTBEATS * heartbeat_s:
            return None
        if not self.page.is_told:
            return self.asked_boot_s
        returned_after_s = self.page.returned_after_s
        if returned_after_s is None or -returned_after_s > self.failed_s:
            return None
        return self.asked_boot_s + returned_after_s
