"""The state of an item that was submitted to the log writer."""

from enum import StrEnum


class AppendState(StrEnum):
    """Whether an item is in the log.

    ``NOT_APPENDED`` items were never sent and never will be. ``IN_DOUBT`` items
    were sent without a reply: they may be in the log, or may be written later.
    """

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    IN_DOUBT = "in_doubt"
