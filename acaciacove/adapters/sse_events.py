"""Splitter of a body into server-sent events."""

from attrs import define

BLANK_LINE = b"\n\n"
DATA_FIELD = b"data:"
MAX_EVENT_BYTES = 1_000_000


@define
class SseSplitter:
    """Collects chunks of a body and returns complete events."""

    incomplete: bytes = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, without their blank lines.

        Raises ValueError when an event exceeds ``MAX_EVENT_BYTES``.
        """
        data = self.incomplete + chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self.incomplete = data.split(BLANK_LINE)
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise ValueError("server-sent event too large")
        return events


def event_data(event: bytes) -> bytes | None:
    """Return the data of an event; None for comments and other fields."""
    if not event.startswith(DATA_FIELD):
        return None
    return event[len(DATA_FIELD) :].strip()
