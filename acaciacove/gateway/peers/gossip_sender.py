"""Sends gossip updates to peers immediately, within a byte budget."""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.gateway.peers.peer import Peer

# Number of peers that an update is sent to; each forwards what is new to it.
FANOUT = 3
# Bytes that updates may use per sliding window: a share of what a process may send to
# its peers for control.
MAX_WINDOW_BYTES = 60_000
WINDOW_S = 20.0


@define(eq=False)
class GossipSender:
    """Sends updates while the byte budget of the sliding window lasts.

    ``send`` sends one datagram to a peer; ``members`` returns the possible receivers.
    """

    members: Callable[[], Iterable[Peer]]
    send: Callable[[bytes, Peer], None]
    random: Random
    clock_s: Callable[[], float]
    _sent_bytes: SlidingWindowCounter = field(
        factory=lambda: SlidingWindowCounter(WINDOW_S)
    )

    def send_update(self, data: bytes) -> None:
        """Send a datagram to a random subset of peers within the byte budget.

        State whose update is dropped here is sent along with later reports.
        """
        members = list(self.members())
        self._send_within_budget(
            data, self.random.sample(members, min(FANOUT, len(members)))
        )

    def broadcast_update(self, data: bytes) -> None:
        """Send a datagram to all peers within the byte budget."""
        self._send_within_budget(data, self.members())

    def _send_within_budget(self, data: bytes, peers: Iterable[Peer]) -> None:
        for peer in peers:
            now_s = self.clock_s()
            if self._sent_bytes.total(now_s) + len(data) > MAX_WINDOW_BYTES:
                return
            self._sent_bytes.add(now_s, len(data))
            self.send(data, peer)
