"""Records that a peer lacked, after a snapshot if they had expired."""

from attrs import frozen

from acaciacove.messages.record import Record


@frozen
class Records:
    """Records that a peer lacked, after a snapshot if they had expired.

    ``snapshot`` is empty when the records alone suffice.
    """

    revision: int
    snapshot: bytes = b""
    snapshot_revision: int = -1
    records: tuple[Record, ...] = ()
