"""Sums refusals for overload by organisation, from log lines."""

from collections import Counter
from collections.abc import Iterable

from acaciacove.explain.log_line import LogLine
from acaciacove.gateway.log_events import Event
from acaciacove.reason import Reason

MAX_ORGANISATIONS = 20
NO_ORGANISATION = "no organisation"
REFUSAL_EVENTS = frozenset({Event.REQUEST, Event.CALLER_REFUSED})


def is_overload_refusal(line: LogLine) -> bool:
    """Return whether a line is about a request that was refused for overload."""
    return (
        line.event in REFUSAL_EVENTS
        and line.fields.get("reason") == Reason.OVERLOADED.value
    )


def sum_overload_refusals(lines: Iterable[LogLine]) -> list[str]:
    """Return a line with the organisations refused most; none without refusals."""
    counts = Counter(
        str(line.fields.get("organisation") or NO_ORGANISATION)
        for line in lines
        if is_overload_refusal(line)
    )
    if not counts:
        return []
    shown = counts.most_common(MAX_ORGANISATIONS)
    text = ", ".join(f"{name} {count}" for name, count in shown)
    hidden = len(counts) - len(shown)
    more = f", {hidden} more" if hidden else ""
    return [f"refused for overload by organisation: {text}{more}"]
