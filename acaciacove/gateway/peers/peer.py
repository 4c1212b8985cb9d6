"""Another gateway, as this one knows it."""

from attrs import define


@define(eq=False)
class Peer:
    """``known_s`` is when it was last heard or its record first read.

    ``heard_nonce`` is the nonce of its last report, echoed to it.
    """

    instance: str
    host: str
    port: int
    availability_zone: str
    known_s: float
    incarnation: int = 0
    heard_s: float = -1e9
    heard_nonce: int = 0
