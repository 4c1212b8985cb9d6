"""Tasks of a gateway for its peers: gossip, and relaying records of the log."""

from acaciacove.daemon.message_server import message_server
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.peers.datagrams import OpenDatagrams
from acaciacove.gateway.peers.peer_network import PeerNetwork
from acaciacove.gateway.relay.tell_records import tell_records
from acaciacove.wire.connection import Connection


async def talk_to_peers(
    gateway: Gateway,
    metadata: MetadataLog,
    open_datagrams: OpenDatagrams | None = None,
) -> None:
    """Relay log records to peers and exchange gossip until cancelled."""
    settings = gateway.settings

    async def relay(connection: Connection) -> None:
        await tell_records(
            connection, gateway.tails, gateway.beliefs.clock_s, gateway.pace
        )

    peers = PeerNetwork(gateway, metadata, open_datagrams)
    async with message_server((settings.host, settings.peer_port), relay):
        await peers.open()
        await peers.run()
