"""Messages on their way to one peer, written by one task."""

import asyncio

from acaciacove.messages.message import Message
from acaciacove.wire.connection import Connection

MAX_QUEUED_MESSAGES = 1024


class Outbox:
    """A bounded queue in front of a connection; ``run`` is the task that writes.

    What has gathered while the peer was busy is written in one go, so that the cost
    of a message falls as load grows. A full queue makes senders wait.
    """

    def __init__(self, connection: Connection) -> None:
        """Write to a connection that somebody else reads."""
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
