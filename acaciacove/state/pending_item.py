"""Item in the queue of the log writer."""

import asyncio

from attrs import define, field

from acaciacove.state.append_result import AppendResult
from acaciacove.state.priority import Priority


@define(eq=False)
class PendingItem:
    """Item to append; ``sent`` is true once a payload with it has been sent."""

    stream: str
    data: bytes
    priority: Priority
    queued_s: float
    done: "asyncio.Future[AppendResult]"
    sent: bool = False
    abandoned: bool = field(default=False)
