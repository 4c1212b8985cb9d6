"""Carries messages between the processes of a promise run, with faults."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from attrs import define, field

from acaciacove.messages.digest import Digest
from acaciacove.messages.message import Message

DELAY_S = 0.001
Handler = Callable[[str, Message], Awaitable[None]]


class ConnectionLostError(Exception):
    """A connection could not be opened (``sent`` is false) or broke."""

    def __init__(self, sent: bool) -> None:
        """Keep whether the request had left."""
        super().__init__("sent" if sent else "not sent")
        self.sent = sent


@define(eq=False)
class PromiseNetwork:
    """Datagrams and calls between named processes.

    ``loss``, ``copies`` and ``delay_s`` apply to datagrams; ``cut_off`` names the
    availability zones that hear nothing from the others. ``broken`` is the share of
    answers whose connection breaks on the way back.
    """

    random: Random
    handlers: dict[str, Handler] = field(factory=dict)
    zones: dict[str, str] = field(factory=dict)
    loss: float = 0.0
    copies: float = 0.0
    delay_s: float = DELAY_S
    broken: float = 0.0
    cut_off: set[str] = field(factory=set)
    _tasks: set["asyncio.Task[None]"] = field(factory=set)

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two processes cannot reach each other."""
        first, second = self.zones.get(one, ""), self.zones.get(other, "")
        return first != second and bool({first, second} & self.cut_off)

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Send a datagram, which may be lost, doubled or overtaken.

        Pulls and records travel over connections, which lose and double nothing.
        """
        datagram = isinstance(message, Digest)
        copies = 1 + (datagram and self.random.random() < self.copies)
        for _ in range(copies):
            lost = datagram and self.random.random() < self.loss
            if lost or self.is_cut(sender, receiver):
                continue
            task = asyncio.create_task(self._deliver(sender, receiver, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def travel(self) -> None:
        """Take one way through the network."""
        await asyncio.sleep(self.delay_s * self.random.uniform(0.5, 2.0))

    async def _deliver(self, sender: str, receiver: str, message: Message) -> None:
        await self.travel()
        handler = self.handlers.get(receiver)
        if handler is not None:
            await handler(sender, message)
