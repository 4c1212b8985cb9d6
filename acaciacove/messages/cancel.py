"""Message of an entry that cancels an attempt."""

from attrs import frozen


@frozen
class Cancel:
    """Cancels an attempt: the caller disconnected, or another attempt won."""

    request_id: str
    attempt: int
