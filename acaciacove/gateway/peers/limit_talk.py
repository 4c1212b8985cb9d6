"""Spreads what endpoints say of their limits over all gateways.

Each would otherwise send one request too many before it heard of a limit, and one that
has no share of it would never hear of its end.
"""

import math
from collections.abc import Callable
from random import Random

from attrs import define

from acaciacove.gateway.choice.stated_limit import LIFE_S
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_states import EndpointStates, life_number
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_limit import log_limit
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.peers.tell_few import TellFew
from acaciacove.messages.limit_news import LimitNews
from acaciacove.messages.limit_seen import LimitSeen
from acaciacove.wire.codec import encode

# What a report is followed by fits into one datagram.
MAX_LIMITS = 32


@define(eq=False)
class LimitTalk:
    """Tells peers of limits and takes their word."""

    few: TellFew
    states: EndpointStates
    log: EventLog
    random: Random
    clock_s: Callable[[], float]

    def tell(self, state: EndpointState) -> None:
        """Tell a few at once of an endpoint's limit, or of its end."""
        self.few.tell(encode(LimitNews((self._seen(state, self.clock_s()),))))

    def take(self, news: LimitNews) -> None:
        """Take another gateway's word and pass on what changes the own."""
        now_s = self.clock_s()
        changed = []
        for seen in news.limits:
            if not _is_sound(seen):
                detail = f"a limit of {seen.per_s}, {seen.age_s} s old"
                self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
                continue
            state = self.states.find_life(seen.endpoint)
            if state is None:
                continue
            if state.limit.hear_told(seen.per_s, now_s - seen.age_s):
                changed.append(seen)
                log_limit(self.log, state, told=True)
        if changed:
            self.few.tell(encode(LimitNews(tuple(changed))))

    def tell_some(self, peer: Peer) -> None:
        """Tell a peer of limits and ends of limits, along with a report."""
        now_s = self.clock_s()
        known = [s for s in self.states.all() if now_s - s.limit.seen_s < LIFE_S]
        if len(known) > MAX_LIMITS:
            known = self.random.sample(known, MAX_LIMITS)
        if known:
            limits = tuple(self._seen(state, now_s) for state in known)
            self.few.send(encode(LimitNews(limits)), peer)

    def _seen(self, state: EndpointState, now_s: float) -> LimitSeen:
        limit = state.limit
        return LimitSeen(life_number(state.endpoint), limit.per_s, now_s - limit.seen_s)


def _is_sound(seen: LimitSeen) -> bool:
    per_s = 0.0 if seen.per_s is None else seen.per_s
    return per_s >= 0 and math.isfinite(per_s) and 0 <= seen.age_s < math.inf
