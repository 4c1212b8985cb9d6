"""Outcome of appending an operator's record."""

from attrs import frozen

from acaciacove.cli.history_entry import HistoryEntry


@frozen
class AppendOutcome:
    """The record as found in the log, or None while the outcome is unknown.

    ``repeated`` is true if the log held the record before this command ran.
    """

    found: HistoryEntry | None
    repeated: bool = False
