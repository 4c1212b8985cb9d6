"""Counts of request statuses, attempt outcomes and other events over time."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from acaciacove.explain.log_line import LogLine
from acaciacove.explain.overload_refusals import sum_overload_refusals
from acaciacove.gateway.log_events import Event

INTERVAL_S = 10.0
COUNTED_FIELDS = {
    Event.REQUEST: "status",
    Event.CALLER_REFUSED: "reason",
    Event.ATTEMPT: "outcome",
}


def summarise(lines: Iterable[LogLine]) -> list[str]:
    """Return a row for each ten seconds that have lines, then overload refusals."""
    lines = list(lines)
    counts_by_interval: dict[float, Counter[str]] = defaultdict(Counter)
    clock_by_interval: dict[float, str] = {}
    for line in lines:
        field = COUNTED_FIELDS.get(Event(line.event)) if line.event in _EVENTS else None
        interval_start_s = line.at_s // INTERVAL_S * INTERVAL_S
        clock_by_interval.setdefault(interval_start_s, line.clock[:8])
        if field is None:
            counts_by_interval[interval_start_s][line.event] += 1
        else:
            counts_by_interval[interval_start_s][
                f"{line.event}:{line.fields.get(field)}"
            ] += 1
    table = []
    for interval_start_s in sorted(counts_by_interval):
        counts = ", ".join(
            f"{name} {n}"
            for name, n in counts_by_interval[interval_start_s].most_common()
        )
        table.append(f"{clock_by_interval[interval_start_s]}  {counts}")
    return table + sum_overload_refusals(lines)


_EVENTS = frozenset(event.value for event in Event)
