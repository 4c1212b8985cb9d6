"""Structured log: one JSON line per routing or placement decision."""

import sys
from typing import Any, TextIO

import orjson
from loguru import logger

LINE_FORMAT = (
    '{{"time":"{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z","level":"{level}",{message}'
)


def start_log(stream: TextIO = sys.stderr, level: str = "INFO") -> None:
    """Configure loguru to write one JSON object per line to a stream."""
    logger.remove()
    logger.add(stream, format=LINE_FORMAT, level=level, backtrace=False, diagnose=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event with its fields; values of unknown types become strings."""
    logger.log(level, _encode_line(event, fields))


def _encode_line(event: str, fields: dict[str, Any]) -> str:
    """Encode the event without its opening brace, which is in LINE_FORMAT."""
    document = {"event": event, **fields}
    return orjson.dumps(document, default=str).decode()[1:]
