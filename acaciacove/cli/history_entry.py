"""One record of the release stream with what the reducer made of it."""

from attrs import frozen

from acaciacove.state.record import Record
from acaciacove.state.verdict import Verdict


@frozen
class HistoryEntry:
    """A record at its offset; ``record`` is None when it cannot be read."""

    offset: int
    record: Record | None
    verdict: Verdict
    detail: str = ""
