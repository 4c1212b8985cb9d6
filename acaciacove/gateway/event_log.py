"""Structured log lines on standard output that never block a request."""

import asyncio
import os
from collections import deque
from datetime import UTC, datetime
from typing import Any

import orjson

from acaciacove.gateway.log_events import Event

# Bytes buffered for a slow reader of standard output. Lines beyond that are dropped and
# counted. At the rate below the buffer holds about four seconds.
MAX_BUFFERED_BYTES = 1_000_000
# The rate at which one process writes lines. Each request has one line, and so has each
# attempt that did not serve it, so this is enough for about 150 requests a second.
LINES_PER_S = 300.0
# The share of the burst that routine lines leave to failures and changes of the view.
ROUTINE_RESERVE = 0.3
BURST_LINES = 600.0


class EventLog:
    """Writes one JSON object per line, rate limited and without blocking."""

    def __init__(self, process: str, descriptor: int | None = 1) -> None:
        """Write to a descriptor; None collects the lines in ``lines`` for tests."""
        self._process = process
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._tokens = BURST_LINES
        self._refilled_s: float | None = None
        self.dropped = 0
        self._dropped_reported = 0
        self.lines: list[dict[str, Any]] = []
        self._writer_registered = False
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def write(self, event: Event, routine: bool = False, **fields: Any) -> None:
        """Write one line; ``routine`` lines are the first to be dropped."""
        if not self._take_token(routine):
            self.dropped += 1
            return
        if self.dropped != self._dropped_reported:
            self._dropped_reported = self.dropped
            self._emit(Event.LINES_DROPPED, {"total": self.dropped})
        self._emit(event, fields)

    def _take_token(self, routine: bool) -> bool:
        now_s = asyncio.get_running_loop().time()
        if self._refilled_s is not None:
            refilled = (now_s - self._refilled_s) * LINES_PER_S
            self._tokens = min(BURST_LINES, self._tokens + refilled)
        self._refilled_s = now_s
        floor = BURST_LINES * ROUTINE_RESERVE if routine else 0.0
        if self._tokens - 1.0 < floor:
            return False
        self._tokens -= 1.0
        return True

    def _emit(self, event: Event, fields: dict[str, Any]) -> None:
        document = {
            "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "process": self._process,
            "event": event.value,
        }
        document |= {name: value for name, value in fields.items() if value is not None}
        if self._descriptor is None:
            self.lines.append(document)
            return
        line = orjson.dumps(document, default=str) + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if not self._writer_registered:
            self._flush()

    def _flush(self) -> None:
        """Write what the descriptor accepts; the rest follows when it is ready."""
        assert self._descriptor is not None
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._set_writer(True)
                return
            except OSError:
                # Standard output is closed, so the loss cannot be reported anywhere.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                break
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                self._set_writer(True)
                return
            self._buffer.popleft()
        self._set_writer(False)

    def _set_writer(self, enabled: bool) -> None:
        if enabled == self._writer_registered or self._descriptor is None:
            return
        loop = asyncio.get_running_loop()
        try:
            if enabled:
                loop.add_writer(self._descriptor, self._flush)
            else:
                loop.remove_writer(self._descriptor)
        except (OSError, ValueError, NotImplementedError):
            # A regular file cannot be registered, and writes to it never block.
            return
        self._writer_registered = enabled
