"""Orders the reports of endpoints by what they say themselves, not by log offsets."""

from collections import OrderedDict

from attrs import define, field

# Endpoints whose newest report is remembered, also after they have left.
MAX_INSTANCES = 2048


@define(eq=False)
class ReportOrder:
    """The newest report of each endpoint, by its start and its own count of reports.

    A log that has returned from a copy holds old reports at new offsets.
    """

    _newest: OrderedDict[str, tuple[int, int]] = field(factory=OrderedDict)

    def record(self, instance: str, started_ms: int, sequence: int) -> None:
        """Record a report; beyond ``MAX_INSTANCES`` the oldest are forgotten."""
        known = self._newest.get(instance, (0, 0))
        self._newest[instance] = max(known, (started_ms, sequence))
        self._newest.move_to_end(instance)
        while len(self._newest) > MAX_INSTANCES:
            self._newest.popitem(last=False)

    def is_newer(self, instance: str, started_ms: int, sequence: int) -> bool:
        """Return whether a report was made after all that are known of an endpoint."""
        known = self._newest.get(instance)
        return known is None or (started_ms, sequence) > known
