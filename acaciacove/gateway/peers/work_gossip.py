"""Gateways tell each other of long prompts that they send to endpoints.

One of thirty gateways sees a thirtieth of what an endpoint has to read. Without word of
the rest, several send it their longest prompts in the same second, and all behind them
wait for seconds beside endpoints that are free.
"""

from collections.abc import Callable, Iterable
from math import isfinite

from attrs import define, field

from acaciacove.decisions.gossip_threshold import MIN_WORK_S, GossipThreshold
from acaciacove.gateway.endpoint_states import EndpointStates
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.peers.peer import Peer
from acaciacove.messages.work_sent import WorkSent
from acaciacove.wire.codec import encode

# Of what a process may send to others for control.
MAX_BYTES_PER_S = 2_500.0
# No prompt takes longer to read; a larger number is a fault of its sender.
MAX_WORK_S = 120.0


@define(eq=False)
class WorkGossip:
    """Sends word of own prompts and takes that of others.

    ``send`` puts one datagram on its way; ``members`` are the receivers.
    """

    members: Callable[[], Iterable[Peer]]
    send: Callable[[bytes, Peer], None]
    states: EndpointStates
    log: EventLog
    threshold: GossipThreshold = field(factory=lambda: GossipThreshold(MAX_BYTES_PER_S))

    def send_update(self, sent: WorkSent, now_s: float) -> None:
        """Tell all members of a prompt, if it is long enough."""
        members = list(self.members())
        if not members or sent.work_s < MIN_WORK_S:
            return
        data = encode(sent)
        if not self.threshold.admits(sent.work_s, len(data) * len(members), now_s):
            return
        for peer in members:
            self.send(data, peer)

    def apply(self, sent: WorkSent, now_s: float) -> None:
        """Add another gateway's prompt to what its endpoint has to read."""
        if not isfinite(sent.work_s) or not 0.0 <= sent.work_s <= MAX_WORK_S:
            detail = f"a prompt of {sent.work_s} s"
            self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            return
        state = self.states.find(sent.endpoint)
        if state is None:
            return
        state.backlog.add_peer_work(sent.work_s, now_s)
        state.record_cached(sent.parts)
