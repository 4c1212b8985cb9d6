"""One record of the release stream with what the reducer made of it."""

from attrs import frozen

from acaciacove.state.record import Record
from acaciacove.state.verdict import Verdict


@frozen
class HistoryEntry:
    """A record at its offset; ``record`` is None when it cannot be read.

    ``verdict`` is None where the records that it depends on have expired.
    """

    offset: int
    record: Record | None
    verdict: Verdict | None
    detail: str = ""

    @property
    def verdict_name(self) -> str:
        """The verdict for people and scripts."""
        return "unknown" if self.verdict is None else self.verdict.value
