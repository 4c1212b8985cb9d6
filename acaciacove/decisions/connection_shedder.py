"""Decides whether a gateway takes new connections.

Answers the load of a balancer that hands most new connections of a zone to one
gateway, which then reads more requests than its processor can serve in time: all of
them are served late. A connection that is closed before its request is read is tried
again by its caller, without any doubt whether the request has run.
"""

from attrs import define

# Callers give up on a request that is not read within a second. A new connection is
# taken in one round of the event loop and its request read in the next one.
MAX_LAG_S = 0.5
# A single late round is a pause of the process, which is over when it is noticed.
MIN_LATE_ROUNDS = 2
# The loop is quick again at this lag, for this long.
LOW_LAG_S = 0.05
RECOVERY_S = 0.5
# The share of the process's file descriptors that callers may use. The others are for
# endpoints, peers and the log.
DESCRIPTOR_SHARE = 0.7


@define
class ConnectionShedder:
    """Tracks the lag of the event loop; ``max_connections`` is 0 without a limit."""

    max_connections: int = 0
    is_overloaded: bool = False
    refused: int = 0
    _late_rounds: int = 0
    _low_since_s: float | None = None

    def record_lag(self, lag_s: float, now_s: float) -> bool:
        """Record how late a timer fired; returns whether the state has changed."""
        self._late_rounds = self._late_rounds + 1 if lag_s > MAX_LAG_S else 0
        if lag_s > LOW_LAG_S:
            self._low_since_s = None
        elif self._low_since_s is None:
            self._low_since_s = now_s
        was_overloaded = self.is_overloaded
        if self._late_rounds >= MIN_LATE_ROUNDS:
            self.is_overloaded = True
        elif self._low_since_s is not None and now_s - self._low_since_s >= RECOVERY_S:
            self.is_overloaded = False
        return self.is_overloaded != was_overloaded

    def takes_connections(self, open_connections: int) -> bool:
        """Return whether one more connection would be taken."""
        is_full = bool(self.max_connections) and (
            open_connections >= self.max_connections
        )
        return not (self.is_overloaded or is_full)

    def may_accept(self, open_connections: int) -> bool:
        """Return whether one more connection may be taken; counts refused ones."""
        is_taken = self.takes_connections(open_connections)
        self.refused += not is_taken
        return is_taken


def max_connections(descriptors: int) -> int:
    """Return how many callers' connections a descriptor limit allows.

    Returns 0, which is no limit, without one.
    """
    return int(DESCRIPTOR_SHARE * descriptors)
