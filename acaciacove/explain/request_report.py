"""Report on one request, with other events logged at about the same time."""

from collections.abc import Iterable
from typing import Any

from acaciacove.explain.log_line import LogLine
from acaciacove.explain.request_cause import request_cause
from acaciacove.gateway.log_events import Event

# Other events are shown from this long before a request's first line until this long
# after its last one: clocks of machines differ by seconds.
CONTEXT_WINDOW_S = 5.0
# Lines of the processes that logged the request take precedence, then earlier ones.
MAX_CONTEXT_LINES = 25
REQUEST_EVENTS = frozenset({Event.REQUEST, Event.ATTEMPT, Event.CALLER_REFUSED})
STATUS_TEXTS = {
    "served": "The caller got the whole answer.",
    "caller_left": "The caller left before its answer was complete.",
    "broken_off": "The answer was broken off after its first piece.",
    "502": "An endpoint may have run it, and its answer was lost: outcome unknown.",
    "503": "It has not run; the caller was told when to come back.",
    "504": "Its time was up before an answer came.",
    "401": "Its API key was not known.",
    "404": "No route matched it.",
}
OUTCOME_TEXTS = {
    "not_sent": "no connection could be made; nothing was sent",
    "not_run": "the endpoint said that it has not run it",
    "failed": "the endpoint ran it and answered a failure",
    "lost": "the connection broke or answered nonsense; it may have run",
    "unsure": "the small model doubted its answer, which was dropped",
    "broken": "the stream broke after its first events",
    "silent": "no answer came in the time for one attempt",
}


def report_request(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the report as lines of text; empty if no line has the request's id."""
    lines = list(lines)
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        return []
    report = [f"request {request_id}"]
    for line in request_lines:
        report += _format_line(line)
        cause = request_cause(line)
        if cause is not None:
            report.append(f"    {cause}")
    report += _format_context(request_lines, lines)
    return report


def _format_line(line: LogLine) -> list[str]:
    prefix = f"  {line.clock} {line.process}"
    fields = line.fields
    if line.event == Event.ATTEMPT:
        outcome = str(fields.get("outcome"))
        return [
            f"{prefix}: attempt {fields.get('number')} at {fields.get('endpoint')}"
            f"{_model_suffix(fields)}: {OUTCOME_TEXTS.get(outcome, outcome)}"
        ]
    if line.event == Event.CALLER_REFUSED:
        return [
            f"{prefix}: refused with {fields.get('status')} ({fields.get('reason')}) "
            f"for {fields.get('host')}{fields.get('path')}",
            f"    decisions up to revision {fields.get('revision')}, "
            f"known complete {fields.get('confirmed_age_s')} s before",
            f"    {STATUS_TEXTS.get(str(fields.get('status')), '')}".rstrip(),
        ]
    if line.event == Event.REQUEST:
        return _format_request(prefix, fields)
    return [f"{prefix}: {line.event} {_format_fields(fields)}"]


def _format_request(prefix: str, fields: dict[str, Any]) -> list[str]:
    status = str(fields.get("status"))
    trail = " then ".join(fields.get("trail") or ["nobody"])
    first = fields.get("first_piece_s")
    first_text = f"first piece after {first} s, " if first is not None else ""
    return [
        f"{prefix}: {status} for {fields.get('organisation')} on route "
        f"{fields.get('route')} of {fields.get('service')}",
        f"    sent to {trail}{_model_suffix(fields)}",
        f"    {first_text}ended after {fields.get('total_s')} s of "
        f"{fields.get('time_s')} s; decisions up to revision {fields.get('revision')}",
        f"    {STATUS_TEXTS.get(status, 'The endpoint answered this itself.')}",
    ]


def _model_suffix(fields: dict[str, Any]) -> str:
    return f" as {fields['model']}" if fields.get("model") else ""


def _format_context(request_lines: list[LogLine], lines: list[LogLine]) -> list[str]:
    """Return the lines of other events at about the time of the request."""
    begin_s, end_s = (
        request_lines[0].at_s - CONTEXT_WINDOW_S,
        request_lines[-1].at_s + CONTEXT_WINDOW_S,
    )
    near = [
        line
        for line in lines
        if line.event not in REQUEST_EVENTS and begin_s <= line.at_s <= end_s
    ]
    request_processes = {line.process for line in request_lines}
    near.sort(key=lambda line: (line.process not in request_processes, line.at_s))
    shown = sorted(near[:MAX_CONTEXT_LINES], key=lambda line: line.at_s)
    if not shown:
        return ["  nothing else was told within five seconds"]
    report = [
        f"    {line.clock} {line.process}: {line.event} {_format_fields(line.fields)}"
        for line in shown
    ]
    hidden = len(near) - len(shown)
    more = [f"    and {hidden} more lines"] if hidden else []
    return ["  what else was told then:", *report, *more]


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())
