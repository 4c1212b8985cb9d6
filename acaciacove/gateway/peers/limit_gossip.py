"""Gossips the rate limits that endpoints announce in their responses.

Otherwise each gateway would send one request too many before it learnt of a limit. A
gateway whose share of a limit is zero sends nothing to that endpoint, so it would never
learn that the limit was lifted.
"""

import math
from collections.abc import Callable
from random import Random

from attrs import define

from acaciacove.gateway.choice.stated_limit import LIMIT_EXPIRY_S, MAX_RATE_PER_S
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_states import EndpointStates, incarnation_id
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_limit import log_limit
from acaciacove.gateway.peers.gossip_sender import GossipSender
from acaciacove.gateway.peers.peer import Peer
from acaciacove.messages.limit_news import LimitNews
from acaciacove.messages.limit_seen import LimitSeen
from acaciacove.wire.codec import encode

# At most this many limits fit into one datagram.
MAX_LIMITS = 32


@define(eq=False)
class LimitGossip:
    """Sends endpoint limits to peers and applies those received."""

    sender: GossipSender
    states: EndpointStates
    log: EventLog
    random: Random
    clock_s: Callable[[], float]

    def send_update(self, state: EndpointState) -> None:
        """Send an endpoint's new or lifted limit to a subset of peers immediately."""
        self.sender.send_update(
            encode(LimitNews((self._limit_seen(state, self.clock_s()),)))
        )

    def apply(self, update: LimitNews) -> None:
        """Apply an update from a peer, and forward the limits that it changed here."""
        now_s = self.clock_s()
        changed = []
        for seen in update.limits:
            if not _is_valid(seen):
                detail = (
                    f"limit for endpoint {seen.endpoint} out of range:"
                    f" {seen.per_s} requests/s, {seen.age_s} s old"
                )
                self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
                continue
            state = self.states.find_incarnation(seen.endpoint)
            if state is None:
                continue
            if state.stated_limit.apply_gossip(seen.per_s, now_s - seen.age_s):
                changed.append(seen)
                log_limit(self.log, state, from_peer=True)
        if changed:
            self.sender.send_update(encode(LimitNews(tuple(changed))))

    def send_state(self, peer: Peer) -> None:
        """Send recently seen and lifted limits to a peer, along with a report."""
        now_s = self.clock_s()
        recent = [
            s
            for s in self.states.all()
            if now_s - s.stated_limit.seen_s < LIMIT_EXPIRY_S
        ]
        if len(recent) > MAX_LIMITS:
            recent = self.random.sample(recent, MAX_LIMITS)
        if recent:
            limits = tuple(self._limit_seen(state, now_s) for state in recent)
            self.sender.send(encode(LimitNews(limits)), peer)

    def _limit_seen(self, state: EndpointState, now_s: float) -> LimitSeen:
        limit = state.stated_limit
        return LimitSeen(
            incarnation_id(state.endpoint), limit.per_s, now_s - limit.seen_s
        )


def _is_valid(seen: LimitSeen) -> bool:
    per_s = 0.0 if seen.per_s is None else seen.per_s
    return 0 <= per_s <= MAX_RATE_PER_S and 0 <= seen.age_s < math.inf
