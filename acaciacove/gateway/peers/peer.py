"""Another gateway, as this one knows it."""

from attrs import define


@define(eq=False)
class Peer:
    """``last_seen_s`` is when it was last heard or its record first read.

    ``last_nonce`` is the nonce of its last report, echoed to it.
    """

    instance: str
    host: str
    port: int
    availability_zone: str
    last_seen_s: float
    incarnation: int = 0
    last_report_s: float = -1e9
    last_nonce: int = 0
