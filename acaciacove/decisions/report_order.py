"""Orders the reports of endpoints by what they say themselves, not by log offsets."""

from collections import OrderedDict

from attrs import define, field, frozen

# Endpoints whose newest report is remembered, also after they have left.
MAX_INSTANCES = 2048
# The log may execute a report some seconds after it was sent. What is older than a
# report that was seen longer ago is believed: that one may have been wrong.
MAX_LATENESS_S = 10.0


@frozen
class _Newest:
    """The newest report of an endpoint: its start, its own count, and when it came."""

    made: tuple[int, int]
    seen_s: float


@define(eq=False)
class ReportOrder:
    """The newest report of each endpoint, by its start and its own count of reports.

    A log that has returned from a copy holds old reports at new offsets, and one that
    executes a call late holds them after newer ones.
    """

    _newest: OrderedDict[str, _Newest] = field(factory=OrderedDict)

    def record(
        self, instance: str, started_ms: int, sequence: int, now_s: float
    ) -> None:
        """Record a report; beyond ``MAX_INSTANCES`` the oldest are forgotten."""
        made = (started_ms, sequence)
        known = self._newest.get(instance)
        if known is None or made >= known.made:
            self._newest[instance] = _Newest(made, now_s)
        self._newest.move_to_end(instance)
        while len(self._newest) > MAX_INSTANCES:
            self._newest.popitem(last=False)

    def is_late(
        self, instance: str, started_ms: int, sequence: int, now_s: float
    ) -> bool:
        """Return whether a report of the same start that was made later came lately.

        Starts are not compared: an endpoint's clock may have been set back between two
        of them. Without a stated start, a lower count may be one that began anew.
        """
        known = self._newest.get(instance)
        if known is None or started_ms == 0 or known.made[0] != started_ms:
            return False
        return sequence < known.made[1] and now_s - known.seen_s < MAX_LATENESS_S

    def is_newer(self, instance: str, started_ms: int, sequence: int) -> bool:
        """Return whether a report was made after all that are known of an endpoint."""
        known = self._newest.get(instance)
        return known is None or (started_ms, sequence) > known.made
