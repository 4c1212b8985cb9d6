"""Settings of the gossip of releases between processes."""

from attrs import frozen


@frozen
class ReleaseGossipSettings:
    """Intervals, fan-out and limits of the gossip.

    One peer receives a digest every ``interval_s``. A process with a new revision
    sends digests to ``eager_peers`` peers at once, and to as many again
    ``eager_again_s`` later. ``far_share`` of the peers are chosen from other
    availability zones and regions. A pull without a reply within ``pull_timeout_s``
    is sent to another peer. A process that has not read the log to its end is ready
    once it has reached the highest revision of ``start_peers`` peers. Replies to pulls
    are limited to ``answer_bytes_per_s``, with bursts of ``answer_burst_bytes``; a
    large release counts as 1,000 bytes.
    """

    interval_s: float = 0.4
    eager_peers: int = 3
    eager_again_s: float = 0.5
    far_share: float = 0.3
    pull_timeout_s: float = 0.4
    start_peers: int = 2
    answer_bytes_per_s: float = 1000.0
    answer_burst_bytes: float = 3000.0
