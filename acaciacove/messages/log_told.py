"""A gateway's answer to another that asked for records of the platform's log."""

from attrs import frozen

from acaciacove.messages.told_record import ToldRecord


@frozen
class LogTold:
    """Records from the asked offset on, and how fresh that knowledge is.

    ``known`` is false when the teller cannot answer: it lacks the offset, or its
    knowledge is too old. ``held_s`` is how long it held the question, and ``age_s``
    how long before this answer it knew that nothing else had been written. The log
    has been there for ``present_s``; None where the teller knows of no absence.
    """

    known: bool
    next_offset: int
    held_s: float
    age_s: float
    records: tuple[ToldRecord, ...]
    present_s: float | None
