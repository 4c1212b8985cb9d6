"""A position in a stream of the log."""

from attrs import frozen


@frozen(order=True)
class LogPosition:
    """An offset in the history that the log calls ``era``; later ones compare higher.

    The same offset in another era is another record.
    """

    era: int
    offset: int


BEFORE_ALL = LogPosition(-1, -1)
# The era of a log that does not state one.
UNSTATED = 0


def is_restoration(read: LogPosition, end: LogPosition) -> bool:
    """Return whether a log that now ends at ``end`` has returned from a copy.

    ``read`` is how far it was read before, ``BEFORE_ALL`` if it was not. Where the era
    is not stated, only an end before that shows it.
    """
    if read == BEFORE_ALL:
        return False
    if UNSTATED in (read.era, end.era):
        return end.offset < read.offset
    return end.era != read.era or end.offset < read.offset
