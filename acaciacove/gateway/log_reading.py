"""One successful look at a stream of the platform's log."""

from attrs import frozen

from acaciacove.gateway.log_page import LogPage


@frozen
class LogReading:
    """A page and the moments of its reading, by the clock that goes on while suspended.

    ``is_newest`` is set where the page holds the newest of each key.
    ``due_boot_s`` is when the first call since the reading before was made,
    ``asked_boot_s`` the one that succeeded: in between calls failed. The log held no
    more than this page, and those before it, at ``complete_boot_s``.
    """

    page: LogPage
    is_newest: bool
    due_boot_s: float
    asked_boot_s: float
    complete_boot_s: float

    @property
    def failed_s(self) -> float:
        """For how long calls had failed before this one."""
        return self.asked_boot_s - self.due_boot_s
