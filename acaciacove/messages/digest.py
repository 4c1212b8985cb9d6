"""Message with a summary of a process's state, sent periodically to peers."""

from attrs import frozen


@frozen
class Digest:
    """Summary of a process's state, sent periodically to a few random peers.

    ``status`` is the sender's ``InstanceStatus``. ``peers`` may list instances that
    have just become unreachable for the sender or are shutting down, as
    ``name/incarnation/status``.
    """

    instance: str
    incarnation: int
    revision: int
    status: str
    reply_wanted: bool = False
    peers: tuple[str, ...] = ()
