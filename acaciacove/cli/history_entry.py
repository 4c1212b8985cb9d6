"""One record of the release stream with the reducer's verdict."""

from attrs import frozen

from acaciacove.state.record import Record
from acaciacove.state.verdict import Verdict


@frozen
class HistoryEntry:
    """A record at its offset; ``record`` is None if it cannot be decoded.

    ``verdict`` is None if the records that it depends on have expired.
    """

    offset: int
    record: Record | None
    verdict: Verdict | None
    detail: str = ""

    @property
    def verdict_name(self) -> str:
        """The verdict as text, ``unknown`` if there is none."""
        return "unknown" if self.verdict is None else self.verdict.value
