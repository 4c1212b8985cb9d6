"""The result of one call to the log."""

from attrs import frozen

from acaciacove.gateway.log_record import LogRecord


@frozen
class LogPage:
    """Records in offset order, and the offset from which to read on.

    A page that another gateway relayed states how fresh it is: ``complete_after_s``
    after the request, nothing but its records had been written (negative: before the
    request). Pages read from the log itself do not have it. ``recovered_after_s`` is
    when, counted the same way, the log recovered from the last outage known to the
    other gateway. ``is_partial`` is set if the log held more records from
    ``next_offset`` on than fit into the page. Offsets are those of the log's ``era``.

    A page of the log itself answers a call that was made ``asked_after_s`` after the
    read began: other gateways may have been asked before, or calls got no answer. One
    that ``is_repeated`` answers a call that the log does not hold, while an earlier one
    was silent.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    complete_after_s: float | None = None
    recovered_after_s: float | None = None
    is_partial: bool = False
    era: int = 0
    asked_after_s: float = 0.0
    is_repeated: bool = False

    @property
    def is_relayed(self) -> bool:
        """Return whether the page came from another gateway."""
        return self.complete_after_s is not None
