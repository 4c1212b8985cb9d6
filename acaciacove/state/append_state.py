"""What is known about an item that was handed to the log writer."""

from enum import StrEnum


class AppendState(StrEnum):
    """Whether an item is in the log.

    ``NOT_APPENDED`` items were never sent and never will be. ``IN_DOUBT`` ones
    were sent, and may be in the log or land there later.
    """

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    IN_DOUBT = "in_doubt"
