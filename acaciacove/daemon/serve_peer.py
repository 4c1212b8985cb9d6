"""The conversation with a peer that has opened a connection to ask for something."""

from acaciacove.daemon.peer_network import PeerNetwork
from acaciacove.messages.hello import Hello
from acaciacove.wire.connection import Connection


async def serve_peer(connection: Connection, network: PeerNetwork) -> None:
    """Answer a peer's messages until it closes; the first one names it."""
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
