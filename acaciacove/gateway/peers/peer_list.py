"""The peers that a gateway knows, and which of them may be alive."""

from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.peers.peer import Peer

# How long a silent peer counts among the gateways that share the limits. A host that is
# partitioned from this one continues to serve. A host that has failed for good only
# makes the shares of the others smaller.
MEMBER_EXPIRY_S = 60.0


class PeerList:
    """All peers by instance name; those seen lately are the gateway's members."""

    def __init__(self, gateway: Gateway) -> None:
        """Start without peers."""
        self._gateway = gateway
        self._peers: dict[str, Peer] = {}

    def all(self) -> list[Peer]:
        """Return all peers, also those that have been silent for long."""
        return list(self._peers.values())

    def find(self, instance: str, host: str, port: int) -> Peer | None:
        """Return a peer, or None if it is unknown or had another address."""
        peer = self._peers.get(instance)
        if peer is None or (peer.host, peer.port) != (host, port):
            return None
        return peer

    def add(self, peer: Peer) -> None:
        """Add a peer, in place of one of the same name."""
        self._peers[peer.instance] = peer

    def update_members(self, now_s: float) -> None:
        """Set the gateway's members to the peers that were seen lately."""
        self._gateway.members = {
            peer.instance: peer
            for peer in self._peers.values()
            if now_s - peer.last_seen_s < MEMBER_EXPIRY_S
        }
