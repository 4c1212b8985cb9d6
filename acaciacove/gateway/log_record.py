"""One keyed record of the log."""

from attrs import frozen


@frozen
class LogRecord:
    """The record of ``key`` at ``offset``; a ``value`` of None is a removal."""

    key: str
    value: bytes | None
    offset: int
