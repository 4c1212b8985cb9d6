"""Gossips long prompts that gateways have sent to endpoints.

With thirty gateways, each sees a thirtieth of the prompts that an endpoint has to
process. Without updates on the rest, several gateways send their longest prompts to
the same endpoint within a second. All requests queued behind them then wait for
seconds while other endpoints are idle.
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

# Share of what a process may send to its peers for control.
MAX_BYTES_PER_S = 2_500.0
# No prompt takes longer to process; a larger value is a fault of the sender.
MAX_WORK_S = 120.0


@define(eq=False)
class WorkGossip:
    """Sends updates on local prompts to peers and applies those received.

    ``send`` sends one datagram to a peer; ``members`` returns the receivers.
    """

    members: Callable[[], Iterable[Peer]]
    send: Callable[[bytes, Peer], None]
    states: EndpointStates
    log: EventLog
    threshold: GossipThreshold = field(factory=lambda: GossipThreshold(MAX_BYTES_PER_S))

    def send_update(self, sent: WorkSent, now_s: float) -> None:
        """Send an update on a prompt to all peers if the prompt is long enough."""
        members = list(self.members())
        if not members or sent.work_s < MIN_WORK_S:
            return
        data = encode(sent)
        if not self.threshold.admits(sent.work_s, len(data) * len(members), now_s):
            return
        for peer in members:
            self.send(data, peer)

    def apply(self, sent: WorkSent, now_s: float) -> None:
        """Add a prompt sent by a peer to the backlog of its endpoint."""
        if not isfinite(sent.work_s) or not 0.0 <= sent.work_s <= MAX_WORK_S:
            detail = (
                f"work of {sent.work_s} s for endpoint {sent.endpoint} is not within"
                f" 0 to {MAX_WORK_S} s"
            )
            self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            return
        state = self.states.find(sent.endpoint)
        if state is None:
            return
        # Peers report the time at normal speed and pace.
        local_s = sent.work_s * state.pace.slowness(now_s)
        state.backlog.add_peer_work(local_s, now_s)
        state.record_cached(sent.parts)
