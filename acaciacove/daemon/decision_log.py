"""One JSON line for each routing or placement decision, through loguru."""

import sys
from typing import Any, TextIO

import orjson
from loguru import logger

LINE_FORMAT = (
    '{{"time":"{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z","level":"{level}",{message}'
)


def start_log(stream: TextIO = sys.stderr, level: str = "INFO") -> None:
    """Send log lines to a stream, one JSON object a line."""
    logger.remove()
    logger.add(stream, format=LINE_FORMAT, level=level, backtrace=False, diagnose=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event with its fields; unknown types are written as text."""
    logger.log(level, _encode_line(event, fields))


def _encode_line(event: str, fields: dict[str, Any]) -> str:
    """Write the object without its opening brace, which LINE_FORMAT has."""
    document = {"event": event, **fields}
    return orjson.dumps(document, default=str).decode()[1:]
