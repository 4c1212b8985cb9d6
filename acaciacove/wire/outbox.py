"""Send queue of a connection."""

import asyncio

from acaciacove.messages.message import Message
from acaciacove.wire.connection import Connection

MAX_QUEUED_MESSAGES = 1024


class Outbox:
    """Bounded send queue of a connection; ``run`` is the task that writes.

    Messages that were queued while the peer was busy are written in one batch, so
    that the cost per message decreases under load. Senders wait while the queue is
    full.
    """

    def __init__(self, connection: Connection) -> None:
        """Start with an empty queue; messages are received elsewhere."""
        self._connection = connection
        self._messages: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)

    async def put(self, message: Message) -> None:
        """Queue a message, waiting while the queue is full."""
        await self._messages.put(message)

    async def run(self) -> None:
        """Write messages until the connection fails or the task is cancelled."""
        while True:
            batch = [await self._messages.get()]
            while not self._messages.empty():
                batch.append(self._messages.get_nowait())
            try:
                await self._connection.send_all(batch)
            except ConnectionError:
                return

    async def flush(self) -> None:
        """Wait until the queue is empty."""
        while not self._messages.empty():
            await asyncio.sleep(0.01)
