"""What became of a record that an operator appended."""

from attrs import frozen

from acaciacove.cli.history_entry import HistoryEntry


@frozen
class AppendOutcome:
    """The record as found in the log, or None when that stays unknown.

    ``repeated`` tells that it had been there before this command ran.
    """

    found: HistoryEntry | None
    repeated: bool = False
