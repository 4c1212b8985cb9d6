"""Remembers which keys were cleared of crashes, and since when."""

from collections import OrderedDict

from attrs import define, field

from acaciacove.decisions.crash_key import is_shared

# Gateways that have not yet received the clearance may still report old crashes of a
# cleared request.
CLEARED_RETENTION_S = 60.0
# Crashes that are reported within this time of the clearance of something shared
# happened before it. Later ones count, since what was sound may crash endpoints from
# some moment on.
SHARED_CLEARANCE_S = 1.0
MAX_CLEARANCES = 1024


@define(eq=False)
class Clearances:
    """Cleared keys, each until its clearance expires.

    A request stays cleared for that long. Something shared is cleared only of what
    happened before: several requests hold it, and a later one may be the first that
    crashes endpoints.
    """

    _until_s: OrderedDict[int, float] = field(factory=OrderedDict)

    def items(self) -> list[tuple[int, float]]:
        """Return the cleared keys, each with the time at which it expires."""
        return list(self._until_s.items())

    def record(self, key: int, until_s: float) -> None:
        """Record a clearance; beyond ``MAX_CLEARANCES`` the oldest are dropped."""
        self._until_s[key] = until_s
        self._until_s.move_to_end(key)
        while len(self._until_s) > MAX_CLEARANCES:
            self._until_s.popitem(last=False)

    def is_new(self, key: int, until_s: float) -> bool:
        """Return whether a peer's clearance is none that is known.

        Clearances that go round between gateways arrive a little later each time.
        """
        known_s = self._until_s.get(key)
        if known_s is None:
            return True
        return is_shared(key) and until_s > known_s + SHARED_CLEARANCE_S

    def covers_report(self, key: int, now_s: float) -> bool:
        """Return whether a crash that is reported now is older than a clearance."""
        cleared_s = self._cleared_s(key)
        if cleared_s is None or not is_shared(key):
            return cleared_s is not None
        return now_s < cleared_s + SHARED_CLEARANCE_S

    def covers(self, key: int, at_s: float) -> bool:
        """Return whether what was found against a key at a time is outdated."""
        cleared_s = self._cleared_s(key)
        if cleared_s is None or not is_shared(key):
            return cleared_s is not None
        return at_s < cleared_s

    def remove_expired(self, now_s: float) -> None:
        """Forget clearances that have expired."""
        while self._until_s and next(iter(self._until_s.values())) <= now_s:
            self._until_s.popitem(last=False)

    def _cleared_s(self, key: int) -> float | None:
        until_s = self._until_s.get(key)
        return None if until_s is None else until_s - CLEARED_RETENTION_S
