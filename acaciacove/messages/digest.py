"""What a process knows, told to a few random peers now and then."""

from attrs import frozen


@frozen
class Digest:
    """What a process knows, told to a few random peers now and then.

    ``status`` is the sender's InstanceStatus; ``peers`` may name instances it has
    just lost or seen leaving, as ``name/incarnation/status``.
    """

    instance: str
    incarnation: int
    revision: int
    status: str
    reply_wanted: bool = False
    peers: tuple[str, ...] = ()
