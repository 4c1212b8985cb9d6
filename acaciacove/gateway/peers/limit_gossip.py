"""Spreads what endpoints say of their limits over all gateways.

Each would otherwise send one request too many before it heard of a limit, and one that
has no share of it would never hear of its end.
"""

import math
from collections.abc import Callable
from random import Random

from attrs import define

from acaciacove.gateway.choice.stated_limit import LIMIT_EXPIRY_S
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

# What a report is followed by fits into one datagram.
MAX_LIMITS = 32


@define(eq=False)
class LimitGossip:
    """Tells peers of limits and takes their word."""

    sender: GossipSender
    states: EndpointStates
    log: EventLog
    random: Random
    clock_s: Callable[[], float]

    def send_update(self, state: EndpointState) -> None:
        """Tell a few at once of an endpoint's limit, or of its end."""
        self.sender.send_update(
            encode(LimitNews((self._limit_seen(state, self.clock_s()),)))
        )

    def apply(self, news: LimitNews) -> None:
        """Take another gateway's word and pass on what changes the own."""
        now_s = self.clock_s()
        changed = []
        for seen in news.limits:
            if not _is_valid(seen):
                detail = f"a limit of {seen.per_s}, {seen.age_s} s old"
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
        """Tell a peer of limits and ends of limits, along with a report."""
        now_s = self.clock_s()
        known = [
            s
            for s in self.states.all()
            if now_s - s.stated_limit.seen_s < LIMIT_EXPIRY_S
        ]
        if len(known) > MAX_LIMITS:
            known = self.random.sample(known, MAX_LIMITS)
        if known:
            limits = tuple(self._limit_seen(state, now_s) for state in known)
            self.sender.send(encode(LimitNews(limits)), peer)

    def _limit_seen(self, state: EndpointState, now_s: float) -> LimitSeen:
        limit = state.stated_limit
        return LimitSeen(
            incarnation_id(state.endpoint), limit.per_s, now_s - limit.seen_s
        )


def _is_valid(seen: LimitSeen) -> bool:
    per_s = 0.0 if seen.per_s is None else seen.per_s
    return per_s >= 0 and math.isfinite(per_s) and 0 <= seen.age_s < math.inf
