"""An item on its way into the log."""

import asyncio

from attrs import define, field

from acaciacove.state.append_result import AppendResult
from acaciacove.state.priority import Priority


@define(eq=False)
class PendingItem:
    """One item in the writer's queue; ``sent`` once a payload with it left."""

    stream: str
    data: bytes
    priority: Priority
    queued_s: float
    done: "asyncio.Future[AppendResult]"
    sent: bool = False
    abandoned: bool = field(default=False)
