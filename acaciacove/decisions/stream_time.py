"""Estimates how long an answer takes from its first event to its end.

Answers a burst of long prompts: endpoints read them in chunks between the tokens of
other requests, so every running stream slows down. An answer whose first event is in
time may then pass its deadline in the middle.
"""

from attrs import define, field

# Weight of the newest interval between two events, and of the newest answer's length.
INTERVAL_WEIGHT = 0.05
LENGTH_WEIGHT = 0.1
PRIOR_INTERVAL_S = 0.03
PRIOR_EVENTS = 10.0
# After this time without an event, the interval of quiet times is expected: the streams
# that were slow have ended, and nothing is known of new ones.
MAX_AGE_S = 3.0
# Weight of an interval below the quiet one, and of one above it. The quiet interval
# thus stays near the shortest tenth.
FASTER_WEIGHT = 0.02
SLOWER_WEIGHT = 0.0005


@define
class StreamTime:
    """Seconds between events, and events per answer by route, of one service."""

    interval_s: float = PRIOR_INTERVAL_S
    quiet_interval_s: float = PRIOR_INTERVAL_S
    events: dict[str, float] = field(factory=dict)
    _updated_s: float = float("-inf")

    def record_interval(self, interval_s: float, now_s: float) -> None:
        """Record the time between two events of any stream in progress."""
        if now_s - self._updated_s >= MAX_AGE_S:
            self.interval_s = self.quiet_interval_s
        self.interval_s += INTERVAL_WEIGHT * (interval_s - self.interval_s)
        faster = interval_s < self.quiet_interval_s
        weight = FASTER_WEIGHT if faster else SLOWER_WEIGHT
        self.quiet_interval_s += weight * (interval_s - self.quiet_interval_s)
        self._updated_s = now_s

    def record_length(self, route: str, events: int) -> None:
        """Record the number of events of a complete answer."""
        known = self.events.get(route, float(events))
        self.events[route] = known + LENGTH_WEIGHT * (events - known)

    def slowdown(self, now_s: float) -> float:
        """Return the share of the time between events that is beyond the quiet one."""
        if now_s - self._updated_s >= MAX_AGE_S or self.interval_s <= 0.0:
            return 0.0
        return max(0.0, 1.0 - self.quiet_interval_s / self.interval_s)

    def expected_s(self, route: str, now_s: float) -> float:
        """Return the expected seconds from the first event of an answer to its end."""
        is_recent = now_s - self._updated_s < MAX_AGE_S
        interval_s = self.interval_s if is_recent else self.quiet_interval_s
        return self.events.get(route, PRIOR_EVENTS) * interval_s
