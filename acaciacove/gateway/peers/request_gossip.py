"""Gossips requests that crash endpoints, and the verdicts on them.

Each gateway forwards what is new to it to a subset of peers immediately. With its
reports it also sends a sample of its retained state, for peers that lost an update,
were partitioned or have just started.
"""

from collections import OrderedDict
from collections.abc import Callable
from random import Random

from attrs import define, field

from acaciacove.gateway.peers.gossip_sender import GossipSender
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.quarantine.request_guard import RequestGuard
from acaciacove.messages.crash_seen import CrashSeen
from acaciacove.messages.request_news import RequestNews
from acaciacove.wire.codec import encode

# Reports are sent at the busy interval for this long after a new update.
BUSY_AFTER_UPDATE_S = 0.7
# Crashes are sent along with reports for this long after their update was sent.
CRASH_RETENTION_S = 30.0
# At most this many fit into one datagram.
MAX_CRASHES = 4
MAX_SUSPECTS = 24
MAX_VERDICTS = 16


@define(eq=False)
class RequestGossip:
    """Sends crashes and verdicts to peers and applies those received."""

    sender: GossipSender
    guard: RequestGuard
    random: Random
    clock_s: Callable[[], float]
    _last_update_s: float = float("-inf")
    _crash_expiry_s: OrderedDict[int, float] = field(factory=OrderedDict)

    def send_update(self, update: RequestNews) -> None:
        """Send an update to a subset of peers immediately."""
        self._last_update_s = self.clock_s()
        for crash in update.crashes:
            self._crash_expiry_s[crash.endpoint] = self.clock_s() + CRASH_RETENTION_S
            self._crash_expiry_s.move_to_end(crash.endpoint)
        while len(self._crash_expiry_s) > MAX_CRASHES:
            self._crash_expiry_s.popitem(last=False)
        self.sender.send_update(encode(update))

    def broadcast_update(self, update: RequestNews) -> None:
        """Send an update to all peers, about an action that must not happen twice."""
        self._last_update_s = self.clock_s()
        self.sender.broadcast_update(encode(update))

    @property
    def has_recent_update(self) -> bool:
        """Return whether peers may not yet have received the last update."""
        return self.clock_s() - self._last_update_s < BUSY_AFTER_UPDATE_S

    def apply(self, update: RequestNews) -> None:
        """Apply an update from a peer, and forward what was new here."""
        new = self.guard.apply(update, self.clock_s())
        if new.crashes or new.verdicts:
            self.send_update(new)

    def send_state(self, peer: Peer) -> None:
        """Send a sample of the retained state to a peer, along with a report."""
        quarantine = self.guard.quarantine
        verdicts = quarantine.verdicts(self.clock_s())
        if len(verdicts) > MAX_VERDICTS:
            verdicts = self.random.sample(verdicts, MAX_VERDICTS)
        crashes = self._recent_crashes()
        if crashes or verdicts:
            self.sender.send(encode(RequestNews(tuple(crashes), tuple(verdicts))), peer)

    def _recent_crashes(self) -> list[CrashSeen]:
        now_s = self.clock_s()
        evidence = self.guard.quarantine.evidence
        return [
            CrashSeen(endpoint, tuple(suspects[:MAX_SUSPECTS]))
            for endpoint, expires_at_s in self._crash_expiry_s.items()
            if expires_at_s > now_s and (suspects := evidence.suspects_of(endpoint))
        ]
