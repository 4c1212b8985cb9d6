"""Message with records of the release stream, in reply to a ``Pull``."""

from attrs import frozen

from acaciacove.messages.record import Record


@frozen
class Records:
    """Records that a peer requested.

    If the oldest of them have expired, ``snapshot`` replaces them and ``records``
    follow it; otherwise ``snapshot`` is empty.
    """

    revision: int
    snapshot: bytes = b""
    snapshot_revision: int = -1
    records: tuple[Record, ...] = ()
