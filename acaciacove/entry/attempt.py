"""The entry's record of one attempt at a request on one endpoint."""

from asyncio import Queue

from attrs import define, field

from acaciacove.messages.chunk import Chunk
from acaciacove.messages.end import End
from acaciacove.messages.head import Head
from acaciacove.messages.refused import Refused

AttemptEvent = Head | Chunk | End | Refused


@define(eq=False)
class Attempt:
    """Events of one attempt, in the order in which the sidecar sent them.

    ``buffered_bytes`` counts the bytes that the caller has not read yet. Its limit is
    MAX_BUFFERED_BYTES in ``entry.sidecar_link``.
    """

    request_id: str
    number: int
    events: Queue[AttemptEvent] = field(factory=Queue)
    buffered_bytes: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return the key that identifies this attempt on its connection."""
        return (self.request_id, self.number)

    async def next_event(self) -> AttemptEvent:
        """Wait for the next event."""
        event = await self.events.get()
        if isinstance(event, Chunk):
            self.buffered_bytes -= len(event.data)
        return event
