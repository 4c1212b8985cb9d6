"""Virtual time: callbacks in order of their time."""

from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define, field

Callback = Callable[[], None]


@define
class EventQueue:
    """A heap of callbacks; time jumps from one to the next."""

    now_s: float = 0.0
    _sequence: int = 0
    _events: list[tuple[float, int, Callback]] = field(factory=list)

    def at(self, time_s: float, callback: Callback) -> None:
        """Call back at a time, not before now."""
        self._sequence += 1
        heappush(self._events, (max(time_s, self.now_s), self._sequence, callback))

    def after(self, delay_s: float, callback: Callback) -> None:
        """Call back after a delay."""
        self.at(self.now_s + delay_s, callback)

    def run(self, until_s: float = float("inf")) -> None:
        """Run events up to a time, or until none is left."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heappop(self._events)
            callback()
