"""Response of a gateway with records of the platform's log."""

from attrs import frozen

from acaciacove.messages.told_record import ToldRecord


@frozen
class LogTold:
    """Records from the requested offset on, and the age of the sender's state.

    ``known`` is false if the sender cannot answer: it does not have the offset, or
    its state is too old or of another ``era`` of the log. ``held_s`` is the time for
    which it delayed the response. ``age_s`` is the time between its last confirmation
    that nothing else had been written and the response. ``present_s`` is the time since
    the log became available again; None if the sender knows of no outage.
    """

    known: bool
    next_offset: int
    held_s: float
    age_s: float
    records: tuple[ToldRecord, ...]
    present_s: float | None
    era: int = 0
