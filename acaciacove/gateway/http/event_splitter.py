"""Splits a stream of server-sent events at event boundaries."""

import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# A boundary may begin in the last bytes that were searched before.
BOUNDARY_OVERLAP_BYTES = 3
_ID_LINE = re.compile(rb"(?:\A|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Buffers an incomplete event until its end arrives.

    Only complete events are passed on. If an endpoint failed within an event whose
    first half was already sent, another endpoint could not continue the stream: the
    caller would read two halves of different events as one.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._rest = bytearray()
        self.last_id: str | None = None

    def push(self, data: bytes) -> bytes:
        """Append bytes; return the bytes of all events that are now complete.

        Only the new bytes are searched. An event that arrives byte by byte would
        otherwise take the square of its size in processor time.
        """
        searched = max(0, len(self._rest) - BOUNDARY_OVERLAP_BYTES)
        self._rest += data
        end = 0
        for boundary in _BOUNDARY.finditer(self._rest, searched):
            end = boundary.end()
        if not end:
            return b""
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        for id_line in _ID_LINE.finditer(complete):
            self.last_id = id_line.group(1).decode("latin-1")
        return complete

    @property
    def is_inside_event(self) -> bool:
        """Return whether a part of an event has arrived, and not its end.

        Empty lines after an event belong to none.
        """
        return bool(self._rest.strip(b"\r\n"))

    @property
    def rest(self) -> bytes:
        """The bytes of the incomplete event."""
        return bytes(self._rest)

    @property
    def rest_bytes(self) -> int:
        """The size of the incomplete event so far."""
        return len(self._rest)
