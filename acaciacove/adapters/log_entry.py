"""One record of the platform's log."""

from attrs import frozen


@frozen
class LogEntry:
    """A payload at its offset in a stream; offsets increase by one."""

    offset: int
    payload: bytes
