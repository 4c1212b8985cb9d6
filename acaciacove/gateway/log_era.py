"""The history of the log that a gateway has seen last."""

import asyncio

from attrs import define, field

from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_position import UNSTATED


@define(eq=False)
class LogEra:
    """The newest era that an answer of the log has stated.

    Peers' words are not taken for it: after a wrong one, no answer of the log would be
    of the era that is expected.

    A log that returns from a copy has lost what was written since the copy. Its offsets
    go back and are given out again, and its era rises by one. An offset therefore means
    nothing without its era. ``changed`` is set, and replaced, when the era rises.
    """

    log: EventLog
    current: int = UNSTATED
    changed: asyncio.Event = field(factory=asyncio.Event)

    def observe(self, era: int) -> None:
        """Apply the era of an answer; a lower one was sent before."""
        if era <= self.current:
            return
        previous, self.current = self.current, era
        if previous != UNSTATED:
            self.log.write(Event.LOG_RESTORED, era=era, previous=previous)
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_beyond(self, era: int, timeout_s: float | None = None) -> None:
        """Wait until the log is in a later era than ``era``, or for ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.current <= era:
                    await self.changed.wait()
        except TimeoutError:
            return
