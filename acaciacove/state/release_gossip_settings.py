"""Settings of the spread of releases between processes."""

from attrs import frozen


@frozen
class ReleaseGossipSettings:
    """How often a process speaks to how many peers.

    Every ``interval_s`` one peer gets a digest. A process that has just learned
    of a new revision tells ``eager_peers`` at once and as many again
    ``eager_again_s`` later. ``far_share`` of the peers
    are chosen from other availability zones and regions on purpose. A pull that
    is not answered within ``pull_timeout_s`` is sent again to somebody else.
    A process answers pulls with ``answer_bytes_per_s``, ``answer_burst_bytes`` at
    once; a large release counts as 1,000 bytes.
    """

    interval_s: float = 0.4
    eager_peers: int = 3
    eager_again_s: float = 0.5
    far_share: float = 0.3
    pull_timeout_s: float = 0.4
    start_peers: int = 2
    answer_bytes_per_s: float = 1000.0
    answer_burst_bytes: float = 3000.0
