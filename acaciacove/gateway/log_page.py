"""What one call to the log returned."""

from attrs import frozen

from acaciacove.gateway.log_record import LogRecord


@frozen
class LogPage:
    """Records in offset order, and the offset to read on from.

    A page that another gateway told says how fresh it is: nothing but its records
    had been written ``complete_after_s`` after the question (negative: before it).
    Pages of the log itself do not have it. ``recovered_after_s`` is when, by the same
    count, the log came back from its last absence that the other gateway knows of.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    complete_after_s: float | None = None
    recovered_after_s: float | None = None

    @property
    def is_relayed(self) -> bool:
        """Tell whether the page came from another gateway."""
        return self.complete_after_s is not None
