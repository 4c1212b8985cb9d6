"""State that this gateway holds about another gateway."""

from attrs import define


@define(eq=False)
class Peer:
    """Address and last contact of a peer.

    ``last_seen_s`` is when its last report arrived or its member record was first
    read. ``last_report_s`` is when its last report arrived. ``last_nonce`` is the
    nonce of that report, which is echoed to the peer.
    """

    instance: str
    host: str
    port: int
    availability_zone: str
    last_seen_s: float
    incarnation: int = 0
    last_report_s: float = -1e9
    last_nonce: int = 0
