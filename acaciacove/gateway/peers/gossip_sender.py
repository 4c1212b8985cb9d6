"""Tells a few other gateways at once, within what may be spent on that."""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.gateway.peers.peer import Peer

# Others that news is passed on to; each passes on what is new to it.
FANOUT = 3
# Of what a process may send to others for control, over the time below.
MAX_WINDOW_BYTES = 60_000
WINDOW_S = 20.0


@define(eq=False)
class GossipSender:
    """``send`` puts one datagram on its way; ``members`` are the receivers."""

    members: Callable[[], Iterable[Peer]]
    send: Callable[[bytes, Peer], None]
    random: Random
    clock_s: Callable[[], float]
    _sent_bytes: SlidingWindowCounter = field(
        factory=lambda: SlidingWindowCounter(WINDOW_S)
    )

    def send_update(self, data: bytes) -> None:
        """Send a datagram to a few, while the bytes for that last.

        What is left out goes along with later reports.
        """
        members = list(self.members())
        self._send_within_budget(
            data, self.random.sample(members, min(FANOUT, len(members)))
        )

    def broadcast_update(self, data: bytes) -> None:
        """Send a datagram to all, while the bytes for that last."""
        self._send_within_budget(data, self.members())

    def _send_within_budget(self, data: bytes, peers: Iterable[Peer]) -> None:
        for peer in peers:
            now_s = self.clock_s()
            if self._sent_bytes.total(now_s) + len(data) > MAX_WINDOW_BYTES:
                return
            self._sent_bytes.add(now_s, len(data))
            self.send(data, peer)
