"""Tasks of a gateway for its peers: gossip, and relaying records of the log."""

from acaciacove.daemon.message_server import message_server
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.peers.datagrams import OpenDatagramSocket
from acaciacove.gateway.peers.peer_network import PeerNetwork
from acaciacove.gateway.relay.serve_records import serve_records
from acaciacove.wire.connection import Connection


async def serve_peers(
    gateway: Gateway,
    metadata: MetadataLog,
    open_socket: OpenDatagramSocket | None = None,
) -> None:
    """Relay log records to peers and exchange gossip until cancelled."""
    settings = gateway.settings

    async def relay(connection: Connection) -> None:
        await serve_records(
            connection,
            gateway.tails,
            gateway.view.clock_s,
            gateway.relay_intervals,
            gateway.log,
        )

    peers = PeerNetwork(gateway, metadata, open_socket)
    async with message_server((settings.host, settings.peer_port), relay):
        await peers.open()
        await peers.run()
