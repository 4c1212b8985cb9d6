"""Spreads word of requests that crash endpoints over all gateways.

Each gateway passes what is new to it on to a few others at once, and tells some of
what it holds with its reports, for those that missed it, were cut off or have started.
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

# For this long after something new, reports follow each other fast.
BUSY_AFTER_UPDATE_S = 0.7
# Crashes go along with reports for this long after they were told here.
CRASH_RETENTION_S = 30.0
# What a report is followed by fits into one datagram.
MAX_CRASHES = 4
MAX_SUSPECTS = 24
MAX_VERDICTS = 16


@define(eq=False)
class RequestGossip:
    """Sends news of requests to peers and takes theirs."""

    sender: GossipSender
    guard: RequestGuard
    random: Random
    clock_s: Callable[[], float]
    _last_update_s: float = float("-inf")
    _crash_expiry_s: OrderedDict[int, float] = field(factory=OrderedDict)

    def send_update(self, news: RequestNews) -> None:
        """Tell a few others at once."""
        self._last_update_s = self.clock_s()
        for crash in news.crashes:
            self._crash_expiry_s[crash.endpoint] = self.clock_s() + CRASH_RETENTION_S
            self._crash_expiry_s.move_to_end(crash.endpoint)
        while len(self._crash_expiry_s) > MAX_CRASHES:
            self._crash_expiry_s.popitem(last=False)
        self.sender.send_update(encode(news))

    def broadcast_update(self, news: RequestNews) -> None:
        """Tell all others, of what must not happen twice."""
        self._last_update_s = self.clock_s()
        self.sender.broadcast_update(encode(news))

    @property
    def has_recent_update(self) -> bool:
        """Tell whether others may not have heard yet of what is new here."""
        return self.clock_s() - self._last_update_s < BUSY_AFTER_UPDATE_S

    def apply(self, news: RequestNews) -> None:
        """Take another gateway's news and pass on what was new here."""
        new = self.guard.apply(news, self.clock_s())
        if new.crashes or new.verdicts:
            self.send_update(new)

    def send_state(self, peer: Peer) -> None:
        """Tell a peer some of what is held here, along with a report."""
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
            for endpoint, until_s in self._crash_expiry_s.items()
            if until_s > now_s and (suspects := evidence.suspects_of(endpoint))
        ]
