"""Parses structured log lines from text."""

from collections.abc import Iterable
from datetime import datetime

import orjson
from attrs import define, field

from acaciacove.explain.log_line import LogLine


@define
class ReadLines:
    """Parsed lines sorted by time, and the number of unreadable lines."""

    lines: list[LogLine] = field(factory=list)
    unreadable: int = 0


def read_lines(text: Iterable[str]) -> ReadLines:
    """Parse the JSON object in each line and ignore any text before it.

    Log collectors prepend a time or a name. Lines that are truncated or come from
    other programs are counted as unreadable.
    """
    read = ReadLines()
    for line in text:
        if not line.strip():
            continue
        found = _read_line(line)
        if found is None:
            read.unreadable += 1
        else:
            read.lines.append(found)
    read.lines.sort(key=lambda found: found.at_s)
    return read


def _read_line(line: str) -> LogLine | None:
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        document = orjson.loads(line[begin:])
        at_s = datetime.fromisoformat(document.pop("time")).timestamp()
        return LogLine(
            at_s, str(document.pop("process")), str(document.pop("event")), document
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
