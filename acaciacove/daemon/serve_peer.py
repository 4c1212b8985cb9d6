"""Server side of a connection that a peer opened."""

from acaciacove.daemon.peer_network import PeerNetwork
from acaciacove.messages.hello import Hello
from acaciacove.wire.connection import Connection


async def serve_peer(connection: Connection, network: PeerNetwork) -> None:
    """Answer a peer's messages until it closes; the Hello carries its name."""
    sender = ""
    try:
        while (message := await connection.receive()) is not None:
            if isinstance(message, Hello):
                sender = message.instance
                continue
            replies = network.answer(sender, message)
            if replies:
                await connection.send_all(replies)
    except ConnectionError:
        return
    finally:
        connection.close()
