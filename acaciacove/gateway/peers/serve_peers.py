"""What a gateway does for its peers: reports, and answers on the log's records."""

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
    """Listen for peers and report to them until cancelled."""
    settings = gateway.settings

    async def tell(connection: Connection) -> None:
        await serve_records(
            connection, gateway.tails, gateway.view.clock_s, gateway.relay_intervals
        )

    peers = PeerNetwork(gateway, metadata, open_socket)
    async with message_server((settings.host, settings.peer_port), tell):
        await peers.open()
        await peers.run()
